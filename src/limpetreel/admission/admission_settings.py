"""Settings of the admission to one upstream."""

from __future__ import annotations

import msgspec


class AdmissionSettings(msgspec.Struct, frozen=True):
    """Settings of an `AdmissionController`.

    Attributes
    ----------
    answer_seconds : float
        Answer time of the class; deadlines further away are cut to it.
    max_limit : int
        Upper bound of the concurrency limit.
    queue_factor : int
        Queue places per unit of the concurrency limit.
    min_queue : int
        Queue places at the lowest limit.
    peer : str
        Name of the upstream for refusals.
    """

    answer_seconds: float = 2.0
    max_limit: int = 256
    queue_factor: int = 4
    min_queue: int = 8
    peer: str = ""
