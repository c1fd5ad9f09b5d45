"""Decision about a sent request that has not been answered."""

from __future__ import annotations

import msgspec


class Expired(msgspec.Struct, frozen=True, tag="expired"):
    """The sent request ends as unknown; the agent sends a cancellation.

    Attributes
    ----------
    request_id : int
        The request.
    is_lost : bool
        True if the upstream restarted, in which case there is nothing to cancel.
    """

    request_id: int
    is_lost: bool = False
