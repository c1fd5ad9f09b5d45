"""Additive increase and multiplicative decrease of the concurrency limit."""

from __future__ import annotations

from limpetreel.admission import concurrency_limiter

LATENCY_TOLERANCE = 1.25
"""Ratio of latency to baseline above which the upstream is assumed to queue.

One request too many on 4 slots raises the mean latency by about a quarter.
"""

DECREASE_FACTOR = 0.85
INCREASE_DIVISOR = 16
"""Makes the increase 1 up to a limit of 31 and larger above it, so that the limit
reaches 64 slots soon enough.
"""

BLOCKS_AFTER_SHED = 32
"""Blocks without increase after a shed, since each probe costs a shed request."""


class AimdLimiter(concurrency_limiter.ConcurrencyLimiter):
    """Limiter that compares the latency with a multiple of the baseline.

    Parameters
    ----------
    max_limit : int
        Upper bound of the limit.
    """

    def __init__(self, max_limit: int) -> None:
        self._max_limit = max_limit
        self._limit = 1
        self._hold_blocks = 0

    @property
    def limit(self) -> int:
        """Number of requests that may be open at once."""
        return self._limit

    def record_block(self, mean: float, baseline: float) -> None:
        """Lower the limit if the latency exceeds the tolerance, otherwise raise it."""
        if mean > baseline * LATENCY_TOLERANCE:
            self._limit = max(1, int(self._limit * DECREASE_FACTOR))
        elif self._hold_blocks > 0:
            self._hold_blocks -= 1
        else:
            step = max(1, self._limit // INCREASE_DIVISOR)
            self._limit = min(self._max_limit, self._limit + step)

    def record_shed(self, open_at_send: int) -> None:
        """Lower the limit below the open requests at which the upstream shed."""
        self._limit = max(1, min(self._limit, open_at_send - 1))
        self._hold_blocks = BLOCKS_AFTER_SHED

    def restart_at(self, limit: int) -> None:
        """Continue from a limit that slow start has reached."""
        self._limit = min(self._max_limit, max(1, limit))
