"""Queue of new flows at an agent."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.streams.serving import waiting_flow

MAX_WAITING = 512
"""Bounds the memory. Callers would time out before a longer queue is served."""


class OpeningQueue:
    """Waiting flows by priority, then by arrival."""

    def __init__(self) -> None:
        self._heap: list[waiting_flow.WaitingFlow] = []
        self._flows: set[bytes] = set()

    def __len__(self) -> int:
        """Return the number of waiting flows."""
        return len(self._heap)

    def __contains__(self, flow: bytes) -> bool:
        """Return whether a flow waits."""
        return flow in self._flows

    @property
    def is_full(self) -> bool:
        """Return whether the queue accepts no further flow."""
        return len(self._heap) >= MAX_WAITING

    def count_ahead(self, priority: int) -> int:
        """Return how many flows would be served before a new one."""
        return sum(1 for waiting in self._heap if waiting.priority <= priority)

    def put(self, waiting: waiting_flow.WaitingFlow) -> None:
        """Add a flow."""
        heapq.heappush(self._heap, waiting)
        self._flows.add(waiting.flow)

    def pop(self) -> waiting_flow.WaitingFlow | None:
        """Remove and return the next flow, None if none waits."""
        if not self._heap:
            return None
        waiting = heapq.heappop(self._heap)
        self._flows.discard(waiting.flow)
        return waiting

    def take_expired(self, now: float) -> list[waiting_flow.WaitingFlow]:
        """Remove and return the flows whose waiting time has expired."""
        return self._take([w for w in self._heap if w.expires_at <= now])

    def take_all(self) -> list[waiting_flow.WaitingFlow]:
        """Remove and return all flows."""
        return self._take(list(self._heap))

    def _take(
        self, selected: list[waiting_flow.WaitingFlow]
    ) -> list[waiting_flow.WaitingFlow]:
        if selected:
            removed = {w.flow for w in selected}
            self._heap = [w for w in self._heap if w.flow not in removed]
            heapq.heapify(self._heap)
            self._flows -= removed
        return selected
