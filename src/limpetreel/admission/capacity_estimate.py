"""Smoothed capacity with hysteresis."""

from __future__ import annotations

SMOOTHING_SECONDS = 5.0
HYSTERESIS = 0.2
"""Relative change above which a new value is reported.

Reporting smaller changes would only move flows needlessly.
"""


class CapacityEstimate:
    """Capacity estimate for shares that ignores short and small changes."""

    def __init__(self) -> None:
        self.reported = 0.0
        self._smoothed = 0.0
        self._updated_at: float | None = None

    def raise_to(self, now: float, value: float) -> None:
        """Raise the estimate to a value that was sustained during slow start."""
        if value > self._smoothed:
            self._updated_at = None
            self.record(now, value)

    def record(self, now: float, value: float) -> None:
        """Add a measured value."""
        if self._updated_at is None:
            self._smoothed = value
        else:
            elapsed = max(0.0, now - self._updated_at)
            gain = elapsed / (elapsed + SMOOTHING_SECONDS)
            self._smoothed += gain * (value - self._smoothed)
        self._updated_at = now
        if abs(self._smoothed - self.reported) > HYSTERESIS * self.reported:
            self.reported = self._smoothed
