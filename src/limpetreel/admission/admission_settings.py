"""Settings of the admission control for one upstream."""

from __future__ import annotations

import msgspec


class AdmissionSettings(msgspec.Struct, frozen=True):
    """Settings of an `AdmissionController`.

    Attributes
    ----------
    answer_seconds : float
        Answer time of the class; later deadlines are shortened to it.
    max_limit : int
        Upper bound of the concurrency limit.
    queue_factor : int
        Maximum number of queued requests per unit of the concurrency limit.
    min_queue : int
        Lower bound of the maximum number of queued requests.
    peer : str
        Name of the upstream, reported in refusals.
    """

    answer_seconds: float = 2.0
    max_limit: int = 256
    queue_factor: int = 4
    min_queue: int = 8
    peer: str = ""
