"""Smoothed capacity with hysteresis."""

from __future__ import annotations

SMOOTHING_SECONDS = 5.0
HYSTERESIS = 0.2
"""Relative change that is reported; smaller ones would only move flows."""


class CapacityEstimate:
    """Value for shares that ignores short and small changes."""

    def __init__(self) -> None:
        self.reported = 0.0
        self._smoothed = 0.0
        self._updated: float | None = None

    def raise_to(self, now: float, value: float) -> None:
        """Report at least a value that has been borne while the limit still grew."""
        if value > self._smoothed:
            self._updated = None
            self.note(now, value)

    def note(self, now: float, value: float) -> None:
        """Add a measured value."""
        if self._updated is None:
            self._smoothed = value
        else:
            passed = max(0.0, now - self._updated)
            gain = passed / (passed + SMOOTHING_SECONDS)
            self._smoothed += gain * (value - self._smoothed)
        self._updated = now
        if abs(self._smoothed - self.reported) > HYSTERESIS * self.reported:
            self.reported = self._smoothed
