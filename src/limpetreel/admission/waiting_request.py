"""A request that waits for a slot."""

from __future__ import annotations

import msgspec


class WaitingRequest(msgspec.Struct, frozen=True, order=True):
    """Queued request, ordered by rank, then by arrival.

    Attributes
    ----------
    rank : float
        Virtual time at which the request may start under fair queueing.
    sequence : int
        Order of arrival.
    request_id : int
        The request.
    caller : int
        The caller.
    deadline_at : float
        Deadline in seconds.
    """

    rank: float
    sequence: int
    request_id: int
    caller: int
    deadline_at: float
