"""Flows of one agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams import flow_phase, owned_flow

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from limpetreel.streams.serving import slot_occupancy

CLOSED_SECONDS = 3.0
"""Time for which the last packets of a closed flow are still forwarded; the interval
of retransmission grows up to 1.6 s."""
SWEEP_SECONDS = 1.0
MAX_RECEIVING = 64
"""Flows that may send a request concurrently without occupying slots. Requests of
240 kB then take 15 MB of the upstream; 50 uploads a second are about 40 at once."""

_RECEIVING = flow_phase.FlowPhase.RECEIVING
_WORKING = flow_phase.FlowPhase.WORKING
# A search in a tuple compares by identity; the hash of an enum member is slow.
_OCCUPYING = (
    flow_phase.FlowPhase.OFFERED,
    flow_phase.FlowPhase.OPENING,
    flow_phase.FlowPhase.WORKING,
)


class FlowSet:
    """Flows by key, and the number of them that occupy a slot of the upstream.

    Parameters
    ----------
    slots : SlotOccupancy
        Follows the requests at the upstream.
    """

    def __init__(self, slots: slot_occupancy.SlotOccupancy) -> None:
        self._slots = slots
        self._flows: dict[bytes, owned_flow.OwnedFlow] = {}
        self._offered: dict[bytes, owned_flow.OwnedFlow] = {}
        # Ordered, so that the same events lead to the same decisions.
        self._occupying: dict[owned_flow.OwnedFlow, None] = {}
        self._receiving: dict[owned_flow.OwnedFlow, None] = {}
        self._closed: set[owned_flow.OwnedFlow] = set()
        self._swept_at = 0.0

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._flows)

    def __iter__(self) -> Iterator[owned_flow.OwnedFlow]:
        """Iterate over all flows."""
        return iter(self._flows.values())

    @property
    def open_flows(self) -> int:
        """Return the number of flows that are not closed at both ends."""
        return len(self._flows) - len(self._closed)

    @property
    def occupied(self) -> int:
        """Return the number of flows that occupy a slot of the upstream."""
        excess = len(self._receiving) - MAX_RECEIVING
        return len(self._occupying) + (excess if excess > 0 else 0)

    def count_occupying(self, caller_host: bytes) -> int:
        """Return how many flows of a caller address occupy slots."""
        return sum(flow.key.startswith(caller_host) for flow in self._occupying)

    def forced(self) -> Iterator[owned_flow.OwnedFlow]:
        """Return the flows whose request was forwarded without a free slot."""
        return (f for f in self._occupying if f.forced_priority is not None)

    @property
    def receiving(self) -> Mapping[owned_flow.OwnedFlow, None]:
        """Return the flows whose request is still arriving."""
        return self._receiving

    @property
    def offered(self) -> int:
        """Return the number of flows whose opening packet is not answered yet."""
        return len(self._offered)

    def get(self, key: bytes) -> owned_flow.OwnedFlow | None:
        """Return a flow, None if it is not known."""
        return self._flows.get(key)

    def add(
        self, key: bytes, now: float, phase: flow_phase.FlowPhase
    ) -> owned_flow.OwnedFlow:
        """Add a flow."""
        flow = owned_flow.OwnedFlow(key, now, phase)
        self._flows[key] = flow
        if phase in _OCCUPYING:
            self._occupying[flow] = None
        if phase is flow_phase.FlowPhase.OFFERED:
            self._offered[key] = flow
        return flow

    def move(
        self, flow: owned_flow.OwnedFlow, phase: flow_phase.FlowPhase, now: float
    ) -> None:
        """Change the phase of a flow."""
        before = flow.phase
        if phase is _WORKING:
            if before is not _WORKING:
                self._slots.begin(now, flow)
        elif before is _WORKING:
            self._slots.end(now, flow)
        if phase in _OCCUPYING:
            self._occupying[flow] = None
        else:
            self._occupying.pop(flow, None)
        if phase is _RECEIVING:
            self._receiving[flow] = None
        elif before is _RECEIVING:
            self._receiving.pop(flow, None)
        flow.phase = phase
        flow.phase_at = now

    def close(self, flow: owned_flow.OwnedFlow, now: float) -> None:
        """Record that both ends have closed a flow; its last packets may follow."""
        self.move(flow, flow_phase.FlowPhase.IDLE, now)
        self._closed.add(flow)

    def remove(self, key: bytes) -> None:
        """Remove a flow."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._occupying.pop(flow, None)
            self._receiving.pop(flow, None)
            self._closed.discard(flow)
            self._slots.forget(flow)
        self._offered.pop(key, None)

    def clear(self) -> list[tuple[bytes, owned_flow.OwnedFlow]]:
        """Remove all flows and return those that were open."""
        lost = [(key, flow) for key, flow in self._flows.items() if not flow.is_closed]
        self._flows.clear()
        self._offered.clear()
        self._occupying.clear()
        self._receiving.clear()
        self._closed.clear()
        self._slots.clear()
        return lost

    def take_unanswered(
        self, before: float
    ) -> list[tuple[bytes, owned_flow.OwnedFlow]]:
        """Remove and return flows offered before a time whose opening is unanswered."""
        answered = [
            k
            for k, f in self._offered.items()
            if f.phase is not flow_phase.FlowPhase.OFFERED
        ]
        for key in answered:
            del self._offered[key]
        overdue = [(k, f) for k, f in self._offered.items() if f.phase_at <= before]
        for key, _ in overdue:
            self.remove(key)
        return overdue

    def release_stalled(
        self, now: float, opening_seconds: float, working_seconds: float
    ) -> None:
        """Mark flows as idle whose callers have probably timed out.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        opening_seconds : float
            Time after which a flow without a request no longer occupies a slot.
        working_seconds : float
            Time after which an unanswered request no longer occupies a slot, and after
            which the rest of one that stopped halfway is no longer awaited.
        """
        for flow in [*self._occupying, *self._receiving]:
            if _is_stalled(flow, now, opening_seconds, working_seconds):
                self.move(flow, flow_phase.FlowPhase.IDLE, now)

    def sweep(self, now: float, idle_seconds: float) -> list[owned_flow.OwnedFlow]:
        """Remove and return flows that have ended.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        idle_seconds : float
            Time without packets after which a flow is removed; 0 for never.
        """
        if now - self._swept_at < SWEEP_SECONDS:
            return []
        self._swept_at = now
        expired = []
        for flow in self._flows.values():
            idle = now - flow.last_at
            is_over = flow.is_closed and idle > CLOSED_SECONDS
            if is_over or (idle_seconds and idle > idle_seconds):
                expired.append(flow)
        for flow in expired:
            self.remove(flow.key)
        return expired


def _is_stalled(
    flow: owned_flow.OwnedFlow,
    now: float,
    opening_seconds: float,
    working_seconds: float,
) -> bool:
    if flow.phase is _RECEIVING:
        return now - flow.data_at > working_seconds
    if flow.phase is flow_phase.FlowPhase.OPENING:
        return now - flow.phase_at > opening_seconds
    is_working = flow.phase is flow_phase.FlowPhase.WORKING
    return is_working and now - flow.phase_at > working_seconds
