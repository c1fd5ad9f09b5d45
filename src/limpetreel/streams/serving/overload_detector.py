"""Tells a peak that passes from an overload that lasts."""

from __future__ import annotations

OVERLOAD_SECONDS = 1.2
"""Time with refusals from which an overload lasts. What begins to wait then would be
refused at the end of its wait, as was what began so long ago."""
UNSERVED_SECONDS = 0.3
"""Time without a slot for late flows from which an overload lasts: all slots go to
flows that can be answered in time. A quarter of the time for which a caller waits."""
PAUSE_SECONDS = 0.5
"""Time without a refusal after which an overload has ended."""


class OverloadDetector:
    """Judges whether it helps flows to wait past their latency target.

    In a peak, such as the return of all callers after an outage, slots become free
    before those that wait have timed out. In an overload that lasts, all slots are
    needed for flows that can still be answered in time.
    """

    def __init__(self) -> None:
        self._refused_since = float("inf")
        self._refused_at = float("-inf")
        self._unserved_since: float | None = None

    def record_refusal(self, now: float) -> None:
        """Record a new flow that was refused for lack of a slot."""
        if now - self._refused_at >= PAUSE_SECONDS:
            self._refused_since = now
        self._refused_at = now

    def record_late(self, now: float) -> None:
        """Record a flow that begins to wait past its latency target."""
        if self._unserved_since is None:
            self._unserved_since = now

    def record_late_served(self, now: float, is_last: bool) -> None:
        """Record that such a flow has got a slot, and whether no other one waits."""
        self._unserved_since = None if is_last else now

    def record_late_gone(self) -> None:
        """Record that no flow waits past its latency target any more."""
        self._unserved_since = None

    def is_lasting(self, now: float) -> bool:
        """Return whether flows should wait only while they can be answered in time."""
        since = self._unserved_since
        if since is not None and now - since >= UNSERVED_SECONDS:
            self._unserved_since = None
            self._refused_since = float("-inf")
            self._refused_at = now
        if now - self._refused_at >= PAUSE_SECONDS:
            return False
        return now - self._refused_since >= OVERLOAD_SECONDS
