"""Additive increase and multiplicative decrease of the concurrency limit."""

from __future__ import annotations

from limpetreel.admission import concurrency_limiter

LATENCY_TOLERANCE = 1.25
"""Ratio to the baseline that counts as queueing inside the upstream.

One request too many on 4 slots raises the mean latency by about a quarter.
"""

DECREASE_FACTOR = 0.85
INCREASE_DIVISOR = 16
"""The increase is 1 up to a limit of 31, so that 64 slots are found in time."""

BLOCKS_AFTER_SHED = 32
"""Blocks without increase after a shed, since each probe costs a refused request."""


class AimdLimiter(concurrency_limiter.ConcurrencyLimiter):
    """Limiter that compares latency with a target.

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

    def note_block(self, mean: float, baseline: float) -> None:
        """Lower the limit above the latency target, otherwise raise it."""
        if mean > baseline * LATENCY_TOLERANCE:
            self._limit = max(1, int(self._limit * DECREASE_FACTOR))
        elif self._hold_blocks > 0:
            self._hold_blocks -= 1
        else:
            step = max(1, self._limit // INCREASE_DIVISOR)
            self._limit = min(self._max_limit, self._limit + step)

    def note_shed(self, open_at_send: int) -> None:
        """Fall below the number of open requests at which the upstream shed."""
        self._limit = max(1, min(self._limit, open_at_send - 1))
        self._hold_blocks = BLOCKS_AFTER_SHED

    def restart_at(self, limit: int) -> None:
        """Continue from a limit that slow start has reached."""
        self._limit = min(self._max_limit, max(1, limit))
