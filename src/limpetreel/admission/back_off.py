"""Retry hints for refused callers."""

from __future__ import annotations

import math
import random

MAX_SECONDS = 60
MIN_SPREAD = 2
"""Minimum jitter in seconds; Max-Age has whole seconds, so short waits need several."""

REFUSAL_HALF_LIFE = 1.0


class BackOff:
    """Computes Max-Age from the pending work and adds jitter.

    Recently refused callers will retry as well. They count as pending work, so the
    retries are spread more widely the longer the overload lasts.

    Parameters
    ----------
    seed : int
        Seed for the jitter.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._refusals = 0.0
        self._updated_at = 0.0

    def retry_after(self, now: float, waiting: int, seconds_per_request: float) -> int:
        """Return a Max-Age in seconds.

        Parameters
        ----------
        now : float
            Time in seconds.
        waiting : int
            Number of queued requests.
        seconds_per_request : float
            Average seconds between two completions of the upstream.
        """
        decay = 0.5 ** (max(0.0, now - self._updated_at) / REFUSAL_HALF_LIFE)
        self._refusals = self._refusals * decay + 1.0
        self._updated_at = now
        base = (waiting + self._refusals) * seconds_per_request
        low = max(1, math.ceil(base / 2))
        high = max(low + MIN_SPREAD, math.ceil(base * 1.5))
        return min(MAX_SECONDS, self._random.randint(low, high))
