"""Decision to end a sent request that was not answered in time."""

from __future__ import annotations

import msgspec


class Expired(msgspec.Struct, frozen=True, tag="expired"):
    """The sent request ends with unknown outcome; the agent sends a cancellation.

    Attributes
    ----------
    request_id : int
        The request.
    is_lost : bool
        Whether the upstream restarted, in which case there is nothing to cancel.
    """

    request_id: int
    is_lost: bool = False
