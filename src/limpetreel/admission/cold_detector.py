"""Detection of a cold upstream from latencies alone."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

ALLOWED_DEVIATIONS = 1.5
"""Deviations above the mean up to which a latency does not raise the score."""

COLD_SCORE = 4.0
ANSWERED_COLD_SCORE = 6.0
"""Threshold for answered requests. It is higher because there are many of them: warm
upstreams reached `COLD_SCORE` by chance, and each false detection costs some seconds
of slow start.
"""

SUSPICION_SCORE = 0.75
"""One latency 2.25 deviations above the mean, about twice the usual latency."""

MIN_DEVIATION = 0.25
MAX_DEVIATION = 0.6
MAX_LEARNED_DEVIATIONS = 2.0
"""Deviations from the mean to which a latency is clamped before it is learned.

Without this bound and those of the deviation, a cold upstream that is overloaded
repeatedly would shift mean and deviation until its latencies look normal.
"""

LOST_RATIO = 3.0
"""Ratio of age to mean latency from which an unanswered request counts as lost."""

MEAN_GAIN = 0.05
MIN_LATENCY = 1e-6
MIN_SAMPLES = 4


class ColdDetector:
    """Cumulative sum (CUSUM) test on the logarithm of the latency.

    The test sums up by how much recent latencies exceed the mean, in deviations
    beyond `ALLOWED_DEVIATIONS`. Open requests count with their age, so an upstream
    that stops answering is detected before any request has ended.
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

    def record_latency(self, latency: float) -> bool:
        """Add the latency of an answer; return whether it indicates a cold upstream."""
        value = math.log(max(latency, MIN_LATENCY))
        if self._count >= MIN_SAMPLES:
            self._score = max(0.0, self._score + self._excess(value))
            if self._score >= ANSWERED_COLD_SCORE:
                return True
        self._update_estimates(value)
        return False

    def record_unanswered(self, age: float) -> bool:
        """Add a request without answer; return whether it indicates a cold upstream.

        A short age neither lowers nor raises the score, since callers may set deadlines
        that are shorter than the service time.
        """
        if not self._count:
            return True
        if age >= LOST_RATIO * self.service_seconds:
            return True
        value = math.log(max(age, MIN_LATENCY))
        self._score += max(0.0, self._excess(value))
        return self._score >= COLD_SCORE

    def score_with(self, ages: Iterable[float]) -> float:
        """Return the score that would result if the open requests were answered now.

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
        """Discard all measurements, because the upstream was replaced or is cold."""
        self._mean = self._variance = self._score = 0.0
        self._count = 0

    def _excess(self, value: float) -> float:
        return (value - self._mean) / self._deviation() - ALLOWED_DEVIATIONS

    def _deviation(self) -> float:
        return min(MAX_DEVIATION, max(MIN_DEVIATION, math.sqrt(self._variance)))

    def _update_estimates(self, value: float) -> None:
        self._count += 1
        gain = max(MEAN_GAIN, 1.0 / self._count)
        deviation = value - self._mean
        if self._count > MIN_SAMPLES:
            bound = MAX_LEARNED_DEVIATIONS * self._deviation()
            deviation = max(-bound, min(bound, deviation))
        self._mean += gain * deviation
        if self._count > 1:
            self._variance += gain * (deviation * deviation - self._variance)
