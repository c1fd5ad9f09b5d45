"""Hints when a refused caller may retry."""

from __future__ import annotations

import math
import random

MAX_SECONDS = 60
MIN_SPREAD = 2
"""Max-Age has whole seconds, so short waits need a spread of some of them."""

REFUSAL_HALF_LIFE = 1.0


class BackOff:
    """Computes Max-Age from the work ahead and spreads callers by jitter.

    Callers that were refused shortly before will return as well. They count as
    work ahead, so the longer the overload, the wider callers are spread.

    Parameters
    ----------
    seed : int
        Seed of the jitter.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._refusals = 0.0
        self._updated = 0.0

    def retry_after(self, now: float, waiting: int, seconds_each: float) -> int:
        """Return a Max-Age in seconds.

        Parameters
        ----------
        now : float
            Time in seconds.
        waiting : int
            Requests queued.
        seconds_each : float
            Seconds in which the upstream completes one request.
        """
        decay = 0.5 ** (max(0.0, now - self._updated) / REFUSAL_HALF_LIFE)
        self._refusals = self._refusals * decay + 1.0
        self._updated = now
        base = (waiting + self._refusals) * seconds_each
        low = max(1, math.ceil(base / 2))
        high = max(low + MIN_SPREAD, math.ceil(base * 1.5))
        return min(MAX_SECONDS, self._random.randint(low, high))
