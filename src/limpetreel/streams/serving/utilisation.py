"""Share of the upstream's slot time in which requests were in service."""

from __future__ import annotations

import math

AVERAGING_SECONDS = 2.0
"""Time constant of the moving average. It spans some tens of requests, and follows a
demand whose swings last several seconds."""


class Utilisation:
    """Exponentially weighted average over time of the share of busy slots."""

    def __init__(self) -> None:
        self._average = 0.0
        self._share = 0.0
        self._since: float | None = None

    def record(self, now: float, share: float) -> None:
        """Record the share of busy slots from now on, between 0 and 1."""
        if share == self._share and self._since is not None:
            return
        self._average = self._average_at(now)
        self._share = share
        self._since = now

    def percent(self, now: float) -> int:
        """Return the average at a time in percent."""
        return round(100 * self._average_at(now))

    def _average_at(self, now: float) -> float:
        if self._since is None:
            return 0.0
        decay = math.exp(min(0.0, self._since - now) / AVERAGING_SECONDS)
        return self._share + decay * (self._average - self._share)
