"""Event queue of a discrete-event simulation."""

from __future__ import annotations

import heapq
from collections.abc import Callable

Callback = Callable[[], object]


class EventQueue:
    """Runs callbacks at their times; `now` advances from event to event."""

    def __init__(self) -> None:
        self.now = 0.0
        self._sequence = 0
        self._heap: list[tuple[float, int, Callback]] = []

    def at(self, when: float, callback: Callback) -> None:
        """Schedule a callback at a time in seconds, not before `now`."""
        self._sequence += 1
        heapq.heappush(self._heap, (max(when, self.now), self._sequence, callback))

    def after(self, delay: float, callback: Callback) -> None:
        """Schedule a callback after a delay in seconds."""
        self.at(self.now + delay, callback)

    def run_until(self, end: float) -> None:
        """Run all events up to a time in seconds."""
        while self._heap and self._heap[0][0] <= end:
            when, _, callback = heapq.heappop(self._heap)
            self.now = when
            callback()
        self.now = end
