"""A request that waits for a slot."""

from __future__ import annotations

import msgspec


class Waiting(msgspec.Struct, frozen=True, order=True):
    """Entry of the queue, ordered by rank, then by arrival.

    Attributes
    ----------
    rank : float
        Virtual time at which the caller's fair share lets the request start.
    sequence : int
        Number of the arrival.
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
