"""Decision to send a request to the upstream."""

from __future__ import annotations

import msgspec


class Admitted(msgspec.Struct, frozen=True, tag="admitted"):
    """The request holds a slot and must be sent now.

    Attributes
    ----------
    request_id : int
        The request.
    remaining : float
        Seconds to the deadline, passed on to the upstream.
    """

    request_id: int
    remaining: float
