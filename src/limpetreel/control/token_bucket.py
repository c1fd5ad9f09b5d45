"""Limit on bytes per second."""

from __future__ import annotations


class TokenBucket:
    """Allows a mean rate and a burst.

    Parameters
    ----------
    now : float
        Time in seconds; the bucket is full then.
    rate : float
        Bytes per second.
    burst : float
        Bytes that may be sent at once after an idle period.
    """

    __slots__ = ("_at", "_left", "burst", "rate")

    def __init__(self, now: float, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._left = burst
        self._at = now

    def has(self, now: float, amount: int) -> bool:
        """Return whether an amount may be sent now."""
        gained = max(now - self._at, 0.0) * self.rate
        self._left = min(self.burst, self._left + gained)
        self._at = max(now, self._at)
        return self._left >= amount

    def take(self, amount: int) -> None:
        """Count an amount that is sent."""
        self._left -= amount
