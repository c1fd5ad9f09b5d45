"""Follows requests and responses on the flows of an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams import flow_phase
from limpetreel.streams.actions import histogram_sample
from limpetreel.streams.serving import packet_gaps

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limpetreel.streams import flow_set, owned_flow, segment
    from limpetreel.streams.serving import capacity, flow_lengths, slot_occupancy

SEQUENCE_WINDOW = 1 << 24
"""Bytes by which new data may be ahead of the last data of the caller."""
SILENCE_SECONDS = 0.03
"""Time without further data after which a request of full packets has ended."""
_SEQUENCE_MASK = 0xFFFFFFFF
_RECEIVING = flow_phase.FlowPhase.RECEIVING
_WORKING = flow_phase.FlowPhase.WORKING


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
    full_bytes : int
        Data of a full packet; a smaller packet ends a request.
    """

    def __init__(
        self,
        flows: flow_set.FlowSet,
        slots: slot_occupancy.SlotOccupancy,
        capacity: capacity.Capacity,
        lengths: flow_lengths.FlowLengths,
        full_bytes: int,
    ) -> None:
        self._flows = flows
        self._slots = slots
        self._capacity = capacity
        self._lengths = lengths
        self._full_bytes = full_bytes

    def record_caller_packet(
        self, now: float, flow: owned_flow.OwnedFlow, segment: segment.Segment
    ) -> None:
        """Record a packet of the caller that is sent to the upstream."""
        flow.last_at = now
        if segment.is_ack:
            flow.last_packet = segment.data
            flow.is_confirmed = True
            flow.caller_ack = segment.ack
        flow.has_caller_fin = flow.has_caller_fin or segment.is_fin or segment.is_reset
        if segment.is_reset:
            flow.has_upstream_fin = True
        if segment.size:
            if is_new_data(flow, segment):
                self._record_data(now, flow, segment)
            else:
                self._fill_gap(now, flow, segment)
        if flow.is_closed:
            self._flows.close(flow, now)

    def record_response(
        self, now: float, flow: owned_flow.OwnedFlow
    ) -> list[histogram_sample.HistogramSample]:
        """Record data of the upstream; return the times of a request that it answers.

        A response to a request that was not in service has no service time.
        """
        if flow.phase not in flow_phase.REQUEST_PHASES:
            return []
        if flow.phase is _RECEIVING:
            # The upstream knew the end of the request before the agent did.
            started_at = None if flow.gaps else flow.data_at
        else:
            started_at = self._slots.end(now, flow)
        self._flows.move(flow, flow_phase.FlowPhase.IDLE, now)
        if started_at is None:
            return []
        self._capacity.record_service_time(now - started_at)
        samples = [_sample("service_seconds", now - started_at)]
        if started_at > flow.data_at:
            samples.append(_sample("upstream_wait_seconds", started_at - flow.data_at))
        if flow.data_at > flow.request_at:
            samples.append(_sample("transfer_seconds", flow.data_at - flow.request_at))
        return samples

    def record_upstream_end(self, now: float, flow: owned_flow.OwnedFlow) -> None:
        """Record that the upstream has closed its side, so that no response follows."""
        if flow.phase in flow_phase.REQUEST_PHASES:
            self._flows.move(flow, flow_phase.FlowPhase.IDLE, now)

    def record_removed(self, flows: Iterable[owned_flow.OwnedFlow]) -> None:
        """Record flows that have ended."""
        for flow in flows:
            if flow.requests == 1:
                self._lengths.record(flow.route_address, has_several=False)

    def end_silent(self, now: float) -> None:
        """End the requests whose data has stopped without a packet that is not full.

        A request of which packets are missing has not ended: its caller sends them
        again, and the upstream waits for them.
        """
        silent = [
            flow
            for flow in self._flows.receiving
            if now - flow.data_at >= SILENCE_SECONDS and not flow.gaps
        ]
        for flow in silent:
            self._flows.move(flow, flow_phase.FlowPhase.WORKING, now)

    def _record_data(
        self, now: float, flow: owned_flow.OwnedFlow, segment: segment.Segment
    ) -> None:
        """Record data that is ahead of all data before it."""
        if flow.phase is flow_phase.FlowPhase.OPENING:
            self._capacity.record_opening_time(now - flow.phase_at)
        if flow.phase not in flow_phase.REQUEST_PHASES:
            self._record_start(now, flow)
        if flow.caller_end is not None and flow.caller_end != segment.sequence:
            self._record_gap(flow, flow.caller_end, segment.sequence)
        flow.caller_end = (segment.sequence + segment.size) & _SEQUENCE_MASK
        flow.has_last_packet = segment.size < self._full_bytes
        flow.data_at = now
        self._update_phase(now, flow)

    def _record_start(self, now: float, flow: owned_flow.OwnedFlow) -> None:
        flow.gaps = None
        flow.request_at = now
        flow.forced_priority = None
        flow.requests += 1
        if flow.requests == 2:  # each flow counts once
            self._lengths.record(flow.route_address, has_several=True)

    def _record_gap(self, flow: owned_flow.OwnedFlow, start: int, end: int) -> None:
        if (end - start) & _SEQUENCE_MASK < SEQUENCE_WINDOW:
            flow.gaps = flow.gaps or packet_gaps.PacketGaps()
            flow.gaps.add(start, end)

    def _fill_gap(
        self, now: float, flow: owned_flow.OwnedFlow, segment: segment.Segment
    ) -> None:
        if flow.gaps is None or not flow.gaps.fill(segment.sequence, segment.size):
            return
        if flow.phase in flow_phase.REQUEST_PHASES:
            flow.data_at = now
            self._update_phase(now, flow)

    def _update_phase(self, now: float, flow: owned_flow.OwnedFlow) -> None:
        phase = _RECEIVING
        if flow.has_last_packet and not flow.gaps:
            phase = _WORKING
        if flow.phase is not phase:
            self._flows.move(flow, phase, now)


def is_new_data(flow: owned_flow.OwnedFlow, segment: segment.Segment) -> bool:
    """Return whether data of the caller is ahead of all that it sent before."""
    if flow.caller_end is None:
        return True
    ahead = (segment.sequence + segment.size - flow.caller_end) & _SEQUENCE_MASK
    return 0 < ahead < SEQUENCE_WINDOW


def _sample(name: str, seconds: float) -> histogram_sample.HistogramSample:
    return histogram_sample.HistogramSample(name, seconds)
