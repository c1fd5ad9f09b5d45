"""Detection of a cold upstream from latencies alone."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

ALLOWANCE = 1.5
"""Deviations above the mean that a single latency may have without being a sign."""

COLD_SCORE = 4.0
ANSWERED_COLD_SCORE = 6.0
"""Score for answered requests, which are many: warm upstreams reached `COLD_SCORE` by
chance in the measurement, and each time costs some seconds of slow start.
"""

SUSPICION_SCORE = 0.75
"""One latency 2.25 deviations above the mean, about twice the usual latency."""

MIN_DEVIATION = 0.25
MAX_DEVIATION = 0.6
LEARNED_DEVIATIONS = 2.0
"""Bound of the effect of one latency on the mean.

Without the bounds, a cold upstream that is overloaded repeatedly would shift mean
and deviation until its latencies look normal.
"""

LOST_RATIO = 3.0
"""Age over the mean at which an unanswered request counts as lost."""

MEAN_GAIN = 0.05
MIN_LATENCY = 1e-6
MIN_SAMPLES = 4


class ColdDetector:
    """Cumulative sum test on the logarithm of the latency.

    The test sums up by how much recent latencies exceed the mean, in deviations
    beyond `ALLOWANCE`. Requests that are still open count with their age, so an
    upstream that stops answering is noticed before any request has ended.
    """

    def __init__(self) -> None:
        self._mean = 0.0
        self._variance = 0.0
        self._count = 0
        self._score = 0.0

    @property
    def service_seconds(self) -> float:
        """Typical latency in seconds, 0 before the first measurement."""
        return math.exp(self._mean) if self._count else 0.0

    def note_latency(self, latency: float) -> bool:
        """Add the latency of an answered request; return whether it looks cold."""
        value = math.log(max(latency, MIN_LATENCY))
        if self._count >= MIN_SAMPLES:
            self._score = max(0.0, self._score + self._excess(value))
            if self._score >= ANSWERED_COLD_SCORE:
                return True
        self._learn(value)
        return False

    def note_unanswered(self, age: float) -> bool:
        """Add a request that ended without answer; return whether it looks cold.

        A short age is no sign of health, and no sign of coldness either: callers
        may set deadlines that are shorter than the service time.
        """
        if not self._count:
            return True
        if age >= LOST_RATIO * self.service_seconds:
            return True
        value = math.log(max(age, MIN_LATENCY))
        self._score += max(0.0, self._excess(value))
        return self._score >= COLD_SCORE

    def score_with(self, ages: Iterable[float]) -> float:
        """Return the score if the open requests were answered now.

        Parameters
        ----------
        ages : iterable of float
            Seconds since the open requests were sent.
        """
        if self._count < MIN_SAMPLES:
            return 0.0
        total = self._score
        for age in ages:
            if age > 0.0:
                total += max(0.0, self._excess(math.log(age)))
        return total

    def reset(self) -> None:
        """Forget everything, because the upstream is another or a cold one."""
        self._mean = self._variance = self._score = 0.0
        self._count = 0

    def _excess(self, value: float) -> float:
        return (value - self._mean) / self._deviation() - ALLOWANCE

    def _deviation(self) -> float:
        return min(MAX_DEVIATION, max(MIN_DEVIATION, math.sqrt(self._variance)))

    def _learn(self, value: float) -> None:
        self._count += 1
        gain = max(MEAN_GAIN, 1.0 / self._count)
        off = value - self._mean
        if self._count > MIN_SAMPLES:
            bound = LEARNED_DEVIATIONS * self._deviation()
            off = max(-bound, min(bound, off))
        self._mean += gain * off
        if self._count > 1:
            self._variance += gain * (off * off - self._variance)
