"""Decisions of the agent beside an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.cluster import fleet_view
from limpetreel.core import core, failure
from limpetreel.node import tick
from limpetreel.streams import (
    flow_phase,
    flow_set,
    owned_flow,
    route_table,
    start_succession,
    stream_key,
    upstream_state,
)
from limpetreel.streams.actions import (
    log_line,
    send_caller,
    send_node,
    send_upstream,
)
from limpetreel.streams.events import (
    agent_leaving,
    fleet_changed,
    node_datagram,
    upstream_announced,
    upstream_departed,
    upstream_ended,
    upstream_packet,
)
from limpetreel.streams.messages import (
    carry,
    locate,
    offer,
    outcome,
    owned,
    probe,
    search,
    stream_codec,
)
from limpetreel.streams.ownership import held_flows, owner_answers, upstream_start
from limpetreel.streams.serving import (
    capacity,
    flow_admission,
    flow_lengths,
    flow_opener,
    request_gate,
    request_tracker,
    slot_occupancy,
    slot_scheduler,
    start_rate,
    verdict_writer,
    waiting_queue,
)

if TYPE_CHECKING:
    import msgspec

    from limpetreel.streams import segment, segment_codec
    from limpetreel.streams.ownership import process_start

    Actions = list[msgspec.Struct]
    Address = tuple[str, int]
    Fields = dict[str, str | int | float]

OPEN_ANSWER_SECONDS = 0.06
"""Time limit for the answer to an opening packet. An upstream answers within 1 ms; the
rest covers a pause of the machine."""


class StreamAgentCore(core.Core):
    """Admits new flows to the upstream and forwards the packets of its flows.

    Parameters
    ----------
    now : float
        Time in seconds.
    codec : SegmentCodec
        Packet format.
    service : str
        Service of the upstream.
    data_centre : str
        Data centre of the machine.
    announcement_seconds : float
        Time between announcements of the upstream.
    max_flow_seconds : float
        Age up to which a flow must be kept.
    process : ProcessStart or None
        Creation of this process, None if it is not known.
    """

    def __init__(
        self,
        now: float,
        codec: segment_codec.SegmentCodec,
        service: str,
        data_centre: str,
        announcement_seconds: float,
        max_flow_seconds: float,
        process: process_start.ProcessStart | None = None,
    ) -> None:
        self._codec = codec
        self._service = service
        self._data_centre = data_centre
        self._view = fleet_view.FleetView()
        self._routes: route_table.RouteTable | None = None
        self._now = now
        self._capacity = capacity.Capacity()
        self._slots = slot_occupancy.SlotOccupancy(self._capacity)
        self._flows = flow_set.FlowSet(self._slots)
        # The upstream may hold flows that were opened before this process restarted.
        self._held = held_flows.HeldFlows(self._flows, now + max_flow_seconds)
        self._answers = owner_answers.OwnerAnswers(self._held)
        self._queue = waiting_queue.WaitingQueue()
        starts = start_rate.StartRate()
        self._is_leaving = False
        self.upstream = upstream_state.UpstreamState(announcement_seconds)
        self._start = upstream_start.UpstreamStart(process, announcement_seconds)
        self._admission = flow_admission.FlowAdmission(
            service,
            self._flows,
            self._queue,
            self._capacity,
            starts,
            self.upstream,
        )
        lengths = flow_lengths.FlowLengths()
        self._requests = request_tracker.RequestTracker(
            self._flows, self._slots, self._capacity, lengths, codec.max_data_bytes
        )
        self._verdicts = verdict_writer.VerdictWriter(
            self._flows,
            self._queue,
            self._capacity,
            self._admission,
            self._slots,
            lengths,
        )
        self._gate = request_gate.RequestGate(
            self._flows, self._queue, self._requests, self._admission
        )
        self._opener = flow_opener.FlowOpener(
            self._flows, self._queue, starts, self._admission, self._verdicts
        )
        self._scheduler = slot_scheduler.SlotScheduler(
            self._queue, self._capacity, self._admission, self._opener, self._gate
        )
        self.dropped: dict[str, int] = {}
        self.resets: dict[str, int] = {}

    @property
    def outcomes(self) -> dict[str, int]:
        """Return the number of answers to offers by outcome."""
        return self._verdicts.outcomes

    @property
    def slots(self) -> int:
        """Return the number of requests that the upstream processes concurrently."""
        return self._capacity.slots

    @property
    def requests_waiting(self) -> int:
        """Return the number of requests that are held."""
        return self._queue.requests

    @property
    def held_by_kind(self) -> dict[str, int]:
        """Return the number of requests that have been held, by kind of the route."""
        return self._gate.held_by_kind

    @property
    def receiving_flows(self) -> int:
        """Return the number of flows whose request is arriving."""
        return len(self._flows.receiving)

    @property
    def has_work(self) -> bool:
        """Return whether flows are open or waiting."""
        return bool(len(self._flows) or len(self._queue))

    @property
    def awaits_end(self) -> bool:
        """Return whether the upstream has signed off, and it is not known if it left.

        Once this process has reported that, no flow of the upstream is searched for.
        """
        is_signed_off = self.upstream.has_departed and not self.upstream.has_ended
        return self._is_leaving and is_signed_off

    @property
    def probes(self) -> dict[str, int]:
        """Return the number of packets of unknown flows that were tried, by result."""
        return self._answers.results

    @property
    def needs_tick_soon(self) -> bool:
        """Return whether a flow waits for an answer or a slot, or sends a request."""
        is_waiting = self._flows.offered or len(self._queue) or self._held.is_holding
        return bool(is_waiting or self._flows.receiving or self.awaits_end)

    def is_accepting(self, now: float) -> bool:
        """Return whether the upstream accepts new flows."""
        if self._is_leaving or self._data_centre in self._view.zones_out:
            return False
        return self.upstream.is_accepting(now)

    def handle(self, now: float, event: msgspec.Struct) -> list[msgspec.Struct]:
        """Handle one event; see `core.Core.handle`."""
        self._now = now
        if isinstance(event, node_datagram.NodeDatagram):
            return self._from_node(now, event)
        if isinstance(event, upstream_packet.UpstreamPacket):
            return self._from_upstream(now, event.data)
        if isinstance(event, tick.Tick):
            return self._tick(now)
        if isinstance(event, fleet_changed.FleetChanged):
            return self._change_view(now, event.view)
        if isinstance(event, upstream_announced.UpstreamAnnounced):
            return self._announce(now, event)
        if isinstance(event, upstream_departed.UpstreamDeparted):
            return self._depart(event)
        if isinstance(event, upstream_ended.UpstreamEnded):
            return self._end_upstream(now, event)
        if isinstance(event, agent_leaving.AgentLeaving):
            return self._leave()
        raise TypeError(type(event))

    def _announce(
        self, now: float, event: upstream_announced.UpstreamAnnounced
    ) -> Actions:
        status = event.status
        was_draining = bool(self.upstream.status and self.upstream.status.is_draining)
        is_first = self.upstream.status is None
        has_departed = self.upstream.has_departed
        result = self.upstream.record_announcement(now, status)
        fields: Fields = {
            "instance": status.instance_id,
            "sequence": status.sequence,
            "cold_ms": status.cold_ms,
            "draining": int(status.is_draining),
        }
        if status.started_ms is not None:
            fields["started_ms"] = status.started_ms
        if result is start_succession.Freshness.LATE:
            return [log_line.LogLine("warning", "upstream.late_announcement", fields)]
        if result is start_succession.Freshness.RIVAL:
            line = log_line.LogLine("warning", "upstream.rival_announcement", fields)
            return [line, *self._ask_upstream()]
        self._capacity.slots = status.slots
        is_new_start = result is start_succession.Freshness.NEW_START
        assert self.upstream.first_heard is not None
        self._start.record(*self.upstream.first_heard)
        actions: Actions = []
        if is_new_start:
            actions.append(log_line.LogLine("info", "upstream.started", fields))
            if not is_first:
                if not has_departed:
                    self.upstream.record_break(now)
                actions += self._ask_upstream()
            actions += self._compare_starts(now)
        if status.is_draining and not was_draining:
            actions.append(log_line.LogLine("info", "upstream.draining", fields))
        if not self.is_accepting(now):
            actions += self._refuse_waiting(outcome.Outcome.CLOSED)
        return actions + self._serve_waiting(now)

    def _compare_starts(self, now: float) -> Actions:
        """Record that all flows are known if the upstream is younger than the agent."""
        limits = self._routes.service(self._service) if self._routes else None
        cold_seconds = limits.cold_seconds if limits is not None else 0.0
        if not self._held.may_hold(now) or not self._start.is_later(cold_seconds):
            return []
        self._held.mark_all_known()
        fields: Fields = {"cold_seconds": cold_seconds, **self._start.describe()}
        return [log_line.LogLine("info", "upstream.flows_known", fields)]

    def _depart(self, event: upstream_departed.UpstreamDeparted) -> Actions:
        fields: Fields = {"instance": event.instance_id}
        if not self.upstream.record_sign_off(event.instance_id):
            return [log_line.LogLine("warning", "upstream.other_departed", fields)]
        actions: Actions = [log_line.LogLine("info", "upstream.departed", fields)]
        return actions + self._refuse_waiting(outcome.Outcome.CLOSED)

    def _end_upstream(self, now: float, event: upstream_ended.UpstreamEnded) -> Actions:
        is_overdue = self.upstream.is_overdue(now)
        if not is_overdue or not self.upstream.record_end(event.instance_id):
            return []
        self.upstream.record_break(now)
        fields: Fields = {"instance": event.instance_id}
        actions: Actions = [log_line.LogLine("warning", "upstream.ended", fields)]
        actions += self._refuse_waiting(outcome.Outcome.CLOSED)
        return actions + self._reset_flows("upstream has ended")

    def _leave(self) -> Actions:
        """Take no new flows; entries may offer some before they hear of the stop."""
        self._is_leaving = True
        return self._refuse_waiting(outcome.Outcome.CLOSED)

    def _end_left(self, now: float) -> Actions:
        """Reset the flows of an upstream that has left before this process ends."""
        status = self.upstream.status
        if status is None or not self.upstream.has_left(now):
            return []
        self.upstream.record_end(status.instance_id)
        fields: Fields = {"instance": status.instance_id}
        line = log_line.LogLine("info", "upstream.left", fields)
        return [line, *self._reset_flows("upstream has left")]

    def _ask_upstream(self) -> Actions:
        """Send the last packet of each flow again, which shows whether the flow lives.

        The upstream returns packets of flows that it does not hold. An announcement may
        be late or come from another writer, so it is no proof that flows have ended.
        """
        return [
            send_upstream.SendUpstream(flow.last_packet)
            for flow in self._flows
            if flow.last_packet is not None and not flow.is_closed
        ]

    def _reset_flows(self, reason: str) -> Actions:
        """Forget all flows, since the start of the upstream that held them has ended.

        Their callers would wait for an answer until their time limit.
        """
        self._held.mark_all_known()
        actions: Actions = []
        for key, flow in self._flows.clear():
            fields: Fields = {"flow": stream_key.text(key), "reason": reason}
            actions.append(log_line.LogLine("warning", "flow.lost", fields))
            if flow.is_confirmed and flow.reset_ack is not None:
                actions.append(self._reset(key, flow.reset_ack, reason))
        return actions

    def _reset(self, key: bytes, ack: int, reason: str) -> msgspec.Struct:
        self.resets[reason] = self.resets.get(reason, 0) + 1
        host = stream_key.caller(key)[0]
        return send_caller.SendCaller(host, self._codec.reset(key, ack))

    def _change_view(self, now: float, view: fleet_view.FleetView) -> Actions:
        was_out = self._data_centre in self._view.zones_out
        is_out = self._data_centre in view.zones_out
        self._view = view
        actions: Actions = []
        newer = route_table.newer(view.configuration, self._routes)
        if newer is not None:
            self._routes = newer
            self._admission.routes = self._routes
            actions += self._compare_starts(now)
        if was_out and not is_out:
            # Upstreams may need a cold start after their zone was out.
            self.upstream.expect_cold()
        if is_out and not was_out:
            actions += self._refuse_waiting(outcome.Outcome.CLOSED)
        return actions

    def _tick(self, now: float) -> Actions:
        actions: Actions = []
        for key, flow in self._flows.take_unanswered(now - OPEN_ANSWER_SECONDS):
            self.upstream.record_timeout(now)
            self.upstream.record_break(now)
            actions.append(self._answer(flow, outcome.Outcome.UNRESPONSIVE))
            fields: Fields = {"flow": stream_key.text(key)}
            actions.append(log_line.LogLine("warning", "upstream.unresponsive", fields))
        if self.upstream.is_blocked(now):
            actions += self._refuse_waiting(outcome.Outcome.UNRESPONSIVE)
        actions += self._scheduler.expire(now)
        idle = self._routes.idle_seconds if self._routes is not None else 0.0
        self._requests.record_removed(self._flows.sweep(now, idle))
        # All callers of a request have timed out after the longest time limit.
        working = self._routes.longest_timeout_seconds if self._routes else 0.0
        opening = self._capacity.max_opening_seconds()
        self._flows.release_stalled(now, opening, working)
        self._requests.end_silent(now)
        self._held.sweep(now)
        if self.awaits_end:
            actions += self._end_left(now)
        for segment in self._held.take_held(now):
            actions += self._forward(now, segment)
        return actions + self._serve_waiting(now)

    def _from_node(self, now: float, event: node_datagram.NodeDatagram) -> Actions:
        message = stream_codec.decode(event.data)
        source = (event.host, event.port)
        if isinstance(message, carry.Carry):
            return self._carry(now, source, message.packet)
        if isinstance(message, offer.Offer):
            return self._offer(now, source, message)
        if isinstance(message, search.Search):
            return self._answers.search(now, source, message)
        if isinstance(message, probe.Probe):
            return self._probe(now, source, message.packet)
        if isinstance(message, locate.Locate):
            return self._locate(now, source, message.packet)
        if isinstance(message, failure.Failure):
            return self._drop(str(message.reason))
        return self._drop("message for an entry")

    def _drop(self, reason: str) -> Actions:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1
        return []

    # Packets of open flows

    def _carry(self, now: float, source: Address, packet: bytes) -> Actions:
        segment = self._codec.from_caller(packet)
        if isinstance(segment, failure.Failure):
            return self._drop(str(segment.reason))
        if self._owns(segment):
            return self._forward(now, segment)
        return self._answers.carry(now, source, segment)

    def _probe(self, now: float, source: Address, packet: bytes) -> Actions:
        segment = self._codec.from_caller(packet)
        if isinstance(segment, failure.Failure):
            return self._drop(str(segment.reason))
        return self._answers.probe(now, source, segment)

    def _locate(self, now: float, source: Address, packet: bytes) -> Actions:
        segment = self._codec.from_caller(packet)
        if isinstance(segment, failure.Failure):
            return self._drop(str(segment.reason))
        if self._owns(segment):
            reply = _node(source, owned.Owned(segment.flow))
            return [*self._forward(now, segment), reply]
        return self._answers.locate(now, segment)

    def _owns(self, segment: segment.Segment) -> bool:
        has_ack = segment.is_ack and not segment.is_open
        return self._held.owns(segment.flow, segment.ack if has_ack else None)

    def _forward(self, now: float, segment: segment.Segment) -> Actions:
        flow = self._flows.get(segment.flow)
        if flow is None:
            return [send_upstream.SendUpstream(segment.data)]
        actions = self._gate.forward(now, flow, segment)
        return actions + self._serve_waiting(now) if len(self._queue) else actions

    def _from_upstream(self, now: float, data: bytes) -> Actions:
        segment = self._codec.from_upstream(data)
        if isinstance(segment, failure.Failure):
            return self._drop(str(segment.reason))
        if segment.is_returned:
            return self._handle_returned(now, segment)
        flow = self._flows.get(segment.flow)
        if flow is None and segment.is_open_reply:
            # Entries were told that the upstream does not respond, or were not told
            # anything. The flow may have been refused, so it must not open now.
            self.upstream.record_answer()
            return self._drop("late answer to an opening")
        if flow is None:
            # The flow is older than this process.
            flow = self._flows.add(segment.flow, now, flow_phase.FlowPhase.IDLE)
            flow.is_confirmed = True
        host = stream_key.caller(segment.flow)[0]
        actions: Actions = [send_caller.SendCaller(host, data)]
        probed = self._held.take_probe(segment.flow)
        if probed is not None:
            # The entry forwards the packet once more, which is no new request then.
            self._requests.record_caller_packet(now, flow, probed.segment)
            actions += self._answers.record_shown(probed)
            for _, held in probed.take_held():
                actions += self._forward(now, held)
        return actions + self._record_upstream_packet(now, flow, segment)

    def _record_upstream_packet(
        self, now: float, flow: owned_flow.OwnedFlow, segment: segment.Segment
    ) -> Actions:
        flow.last_at = now
        self.upstream.record_answer()
        actions: Actions = []
        if segment.is_open_reply:
            flow.first_sequence = flow.upstream_end = segment.sequence
            if flow.phase is flow_phase.FlowPhase.OFFERED:
                self._flows.move(flow, flow_phase.FlowPhase.OPENING, now)
                actions.append(self._answer(flow, outcome.Outcome.ACCEPTED))
        else:
            flow.is_established = True
            flow.record_sent(segment.sequence, segment.size)
        if segment.is_reset and flow.has_open_request:
            self.upstream.record_break(now)
        if segment.is_fin or segment.is_reset:
            flow.has_upstream_fin = True
            flow.has_caller_fin = flow.has_caller_fin or segment.is_reset
        if segment.size:
            actions += self._requests.record_response(now, flow)
        elif segment.is_fin:
            self._requests.record_upstream_end(now, flow)
        if flow.is_closed:
            self._flows.close(flow, now)
        return actions + self._serve_waiting(now) if len(self._queue) else actions

    def _handle_returned(self, now: float, segment: segment.Segment) -> Actions:
        flow = self._flows.get(segment.flow)
        if flow is None:
            return self._answers.record_returned(segment.flow)
        if not segment.is_open:
            return self._handle_lost(now, segment, flow)
        if flow.phase is not flow_phase.FlowPhase.OFFERED:
            return []
        self._flows.remove(segment.flow)
        return [self._answer(flow, outcome.Outcome.FULL)]

    def _handle_lost(
        self, now: float, segment: segment.Segment, flow: owned_flow.OwnedFlow
    ) -> Actions:
        """Forget a flow that the upstream does not hold any more.

        A flow that is not established may be held by another upstream.
        """
        self._flows.remove(segment.flow)
        if not flow.is_established or flow.is_closed:
            return []
        self.upstream.record_break(now)
        reason = "upstream has returned a packet"
        fields: Fields = {"flow": stream_key.text(segment.flow), "reason": reason}
        lost = log_line.LogLine("warning", "flow.lost", fields)
        return [lost, self._reset(segment.flow, segment.ack, reason)]

    # Admission of new flows

    def _offer(self, now: float, source: Address, message: offer.Offer) -> Actions:
        segment = self._codec.from_caller(message.packet)
        if isinstance(segment, failure.Failure) or not segment.is_open:
            return self._drop("offer without an opening packet")
        is_accepting = self.is_accepting(now)
        return self._opener.handle(now, source, message, segment.flow, is_accepting)

    def _answer(
        self, flow: owned_flow.OwnedFlow, result: outcome.Outcome
    ) -> msgspec.Struct:
        return self._opener.answer(self._now, flow, result)

    def _serve_waiting(self, now: float) -> Actions:
        return self._scheduler.serve(now)

    def _refuse_waiting(self, reason: outcome.Outcome) -> Actions:
        return self._scheduler.refuse_openings(self._now, reason)


def _node(target: Address, message: stream_codec.Message) -> msgspec.Struct:
    return send_node.SendNode(target, stream_codec.encode(message))
