"""Limit on new flows of a cold upstream."""

from __future__ import annotations

import collections

WINDOW_SECONDS = 1.05
"""A second, and some time by which packets may be held up differently."""


class StartRate:
    """Counts new flows in a sliding second."""

    def __init__(self) -> None:
        self._times: collections.deque[float] = collections.deque()

    def note(self, now: float) -> None:
        """Count a flow that was sent to the upstream."""
        self._times.append(now)
        self._forget(now)

    def has_room(self, now: float, per_second: float) -> bool:
        """Return whether one more flow stays within the limit.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        per_second : float
            New flows that the upstream bears. 0 is no limit: such an upstream is
            slow while it is cold, and `Capacity` follows its speed.
        """
        if per_second <= 0:
            return True
        self._forget(now)
        return len(self._times) < max(1, int(per_second))

    def _forget(self, now: float) -> None:
        while self._times and self._times[0] <= now - WINDOW_SECONDS:
            self._times.popleft()
