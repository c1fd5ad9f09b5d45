"""Limit on new flows of a cold upstream."""

from __future__ import annotations

import collections

WINDOW_SECONDS = 1.05
"""One second, and a margin for packets that are delayed unequally on their way."""


class StartRate:
    """Counts new flows in a sliding window of one second."""

    def __init__(self) -> None:
        self._times: collections.deque[float] = collections.deque()

    def record(self, now: float) -> None:
        """Record a flow that was sent to the upstream."""
        self._times.append(now)
        self._remove_expired(now)

    def has_capacity(self, now: float, per_second: float) -> bool:
        """Return whether one more flow stays within the limit.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        per_second : float
            New flows that the upstream can take per second. 0 means no limit: such an
            upstream is slow while it is cold, and `Capacity` adapts to its speed.
        """
        if per_second <= 0:
            return True
        self._remove_expired(now)
        return len(self._times) < max(1, int(per_second))

    def _remove_expired(self, now: float) -> None:
        while self._times and self._times[0] <= now - WINDOW_SECONDS:
            self._times.popleft()
