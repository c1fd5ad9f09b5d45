"""Decision to queue a request."""

from __future__ import annotations

import msgspec


class Queued(msgspec.Struct, frozen=True, tag="queued"):
    """The request waits; a later call returns `Admitted` or `Refused` for it.

    Attributes
    ----------
    request_id : int
        The request.
    """

    request_id: int
