"""Follows requests and responses on the flows of an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams import flow_phase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limpetreel.streams import flow_set, owned_flow, segment
    from limpetreel.streams.serving import capacity, flow_lengths, slot_occupancy

SEQUENCE_WINDOW = 1 << 24
"""Bytes by which new data may be ahead of the last data of the caller."""
_SEQUENCE_MASK = 0xFFFFFFFF


class RequestTracker:
    """Moves flows between phases as packets pass, and measures opening and service.

    Parameters
    ----------
    flows : FlowSet
        Flows of the upstream.
    slots : SlotOccupancy
        Requests at the upstream.
    capacity : Capacity
        Takes the measured times.
    lengths : FlowLengths
        Learns whether flows carry several requests.
    """

    def __init__(
        self,
        flows: flow_set.FlowSet,
        slots: slot_occupancy.SlotOccupancy,
        capacity: capacity.Capacity,
        lengths: flow_lengths.FlowLengths,
    ) -> None:
        self._flows = flows
        self._slots = slots
        self._capacity = capacity
        self._lengths = lengths

    def record_caller_packet(
        self, now: float, flow: owned_flow.OwnedFlow, segment: segment.Segment
    ) -> None:
        """Record a packet of the caller that is sent to the upstream."""
        flow.last_at = now
        if segment.is_ack:
            flow.is_confirmed = True
            flow.caller_ack = segment.ack
        flow.has_caller_fin = flow.has_caller_fin or segment.is_fin or segment.is_reset
        if segment.is_reset:
            flow.has_upstream_fin = True
        if segment.size and is_new_data(flow, segment):
            self._record_data(now, flow, segment)
        if flow.is_closed:
            self._flows.move(flow, flow_phase.FlowPhase.IDLE, now)

    def record_response(self, now: float, flow: owned_flow.OwnedFlow) -> float | None:
        """Record data of the upstream; return the service time of a request in seconds.

        It is None if the data does not start the response to a request in service.
        """
        if flow.phase is not flow_phase.FlowPhase.WORKING:
            return None
        seconds = self._slots.end(now, flow)
        if seconds is not None:
            self._capacity.record_service_time(seconds)
        self._flows.move(flow, flow_phase.FlowPhase.IDLE, now)
        return seconds

    def record_removed(self, flows: Iterable[owned_flow.OwnedFlow]) -> None:
        """Record flows that have ended."""
        for flow in flows:
            if flow.requests == 1:
                self._lengths.record(flow.route_address, has_several=False)

    def _record_data(
        self, now: float, flow: owned_flow.OwnedFlow, segment: segment.Segment
    ) -> None:
        flow.caller_end = (segment.sequence + segment.size) & _SEQUENCE_MASK
        if flow.phase is flow_phase.FlowPhase.OPENING:
            self._capacity.record_opening_time(now - flow.phase_at)
        if flow.phase is flow_phase.FlowPhase.WORKING:
            return
        flow.requests += 1
        if flow.requests == 2:  # each flow counts once
            self._lengths.record(flow.route_address, has_several=True)
        self._flows.move(flow, flow_phase.FlowPhase.WORKING, now)


def is_new_data(flow: owned_flow.OwnedFlow, segment: segment.Segment) -> bool:
    """Return whether data of the caller is ahead of all that it sent before."""
    if flow.caller_end is None:
        return True
    ahead = (segment.sequence + segment.size - flow.caller_end) & _SEQUENCE_MASK
    return 0 < ahead < SEQUENCE_WINDOW
