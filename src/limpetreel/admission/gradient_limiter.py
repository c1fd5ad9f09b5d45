"""Concurrency limit that follows the ratio of baseline to measured latency."""

from __future__ import annotations

import math

from limpetreel.admission import concurrency_limiter

LATENCY_TOLERANCE = 1.1
"""Ratio of latency to baseline that is attributed to noise."""

SMOOTHING = 0.3
MIN_GRADIENT = 0.5
HEADROOM = 0.5
"""Multiple of the square root of the limit that is added to probe for capacity."""


class GradientLimiter(concurrency_limiter.ConcurrencyLimiter):
    """Limiter that scales the limit by the latency gradient.

    It is the default: in `admission_measure` with seeds 1 to 4 it answers at least
    0.98 of the requests in time at 70 % load and has a goodput of at least 0.97 at
    double load. `AimdLimiter` reaches 0.87 and 0.84, since a single decrease removes
    a large part of a limit of 2 to 4.

    Parameters
    ----------
    max_limit : int
        Upper bound of the limit.
    """

    def __init__(self, max_limit: int) -> None:
        self._max_limit = max_limit
        self._estimate = 1.0

    @property
    def limit(self) -> int:
        """Number of requests that may be open at once."""
        return max(1, int(self._estimate))

    def record_block(self, mean: float, baseline: float) -> None:
        """Move the limit towards its product with the gradient plus the headroom."""
        gradient = min(1.0, LATENCY_TOLERANCE * baseline / mean)
        scaled = self._estimate * max(MIN_GRADIENT, gradient)
        target = scaled + HEADROOM * math.sqrt(self._estimate)
        smoothed = self._estimate + SMOOTHING * (target - self._estimate)
        self._estimate = min(float(self._max_limit), max(1.0, smoothed))

    def record_shed(self, open_at_send: int) -> None:
        """Lower the limit below the open requests at which the upstream shed."""
        self._estimate = max(1.0, min(self._estimate, open_at_send - 1.0))

    def restart_at(self, limit: int) -> None:
        """Continue from a limit that slow start has reached."""
        self._estimate = float(min(self._max_limit, max(1, limit)))
