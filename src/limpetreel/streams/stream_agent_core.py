"""Decisions of the agent beside an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.cluster import fleet_view
from limpetreel.core import core, failure
from limpetreel.node import tick
from limpetreel.streams import (
    capacity,
    flow_admission,
    flow_phase,
    flow_set,
    opening_queue,
    owned_flow,
    route_table,
    start_rate,
    stream_key,
    upstream_state,
    waiting_flow,
)
from limpetreel.streams.actions import (
    histogram_sample,
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
    verdict,
)
from limpetreel.streams.ownership import held_flows, owner_answers, upstream_start

if TYPE_CHECKING:
    import msgspec

    from limpetreel.configuration import route
    from limpetreel.streams import segment, segment_codec
    from limpetreel.streams.ownership import process_start

    Actions = list[msgspec.Struct]
    Address = tuple[str, int]
    Fields = dict[str, str | int | float]

OPEN_ANSWER_SECONDS = 0.06
"""Time limit for the answer to an opening packet. An upstream answers within 1 ms; the
rest covers a pause of the machine."""
MAX_OPENING_SECONDS = 0.15
"""Time after which an open flow without a request no longer occupies a slot. A live
caller sends its request within one round trip."""
SEQUENCE_WINDOW = 1 << 24
"""Bytes by which new data may be ahead of the last data of the caller."""


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
        self._flows = flow_set.FlowSet()
        # The upstream may hold flows that were opened before this process restarted.
        self._held = held_flows.HeldFlows(self._flows, now + max_flow_seconds)
        self._answers = owner_answers.OwnerAnswers(self._held)
        self._queue = opening_queue.OpeningQueue()
        self._capacity = capacity.Capacity()
        self._starts = start_rate.StartRate()
        self._queue_number = 0
        self.upstream = upstream_state.UpstreamState(announcement_seconds)
        self._start = upstream_start.UpstreamStart(process, announcement_seconds)
        self._admission = flow_admission.FlowAdmission(
            service,
            self._flows,
            self._queue,
            self._capacity,
            self._starts,
            self.upstream,
        )
        self.outcomes: dict[str, int] = {}
        self.dropped: dict[str, int] = {}

    @property
    def slots(self) -> int:
        """Return the number of requests that the upstream processes concurrently."""
        return self._capacity.slots

    @property
    def has_work(self) -> bool:
        """Return whether flows are open or waiting."""
        return bool(len(self._flows) or len(self._queue))

    @property
    def probes(self) -> dict[str, int]:
        """Return the number of packets of unknown flows that were tried, by result."""
        return self._answers.results

    @property
    def needs_tick_soon(self) -> bool:
        """Return whether a flow waits for an answer or a slot."""
        return bool(self._flows.offered or len(self._queue) or self._held.is_holding)

    def is_accepting(self, now: float) -> bool:
        """Return whether the upstream accepts new flows."""
        if self._data_centre in self._view.zones_out:
            return False
        return self.upstream.is_accepting(now)

    def handle(self, now: float, event: msgspec.Struct) -> list[msgspec.Struct]:
        """Handle one event; see `core.Core.handle`."""
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
            if not self.upstream.has_departed:
                return []
            return self._reset_flows("upstream has departed")
        raise TypeError(type(event))

    def _announce(
        self, now: float, event: upstream_announced.UpstreamAnnounced
    ) -> Actions:
        status = event.status
        was_draining = bool(self.upstream.status and self.upstream.status.is_draining)
        is_first = self.upstream.status is None
        freshness = self.upstream.record_announcement(now, status)
        fields: Fields = {
            "instance": status.instance_id,
            "sequence": status.sequence,
            "cold_ms": status.cold_ms,
            "draining": int(status.is_draining),
        }
        if freshness is upstream_state.Freshness.LATE:
            return [log_line.LogLine("warning", "upstream.late_announcement", fields)]
        self._capacity.slots = status.slots
        is_new_start = freshness is upstream_state.Freshness.NEW_START
        self._start.record(now, status, is_new_start)
        actions: Actions = []
        if is_new_start:
            actions.append(log_line.LogLine("info", "upstream.started", fields))
            if is_first and status.sequence <= 1:
                # The upstream has just started and holds no earlier flows.
                self._held.mark_all_known()
            elif not is_first:
                actions += self._reset_flows("upstream has restarted")
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
        fields: Fields = {"cold_seconds": cold_seconds}
        return [log_line.LogLine("info", "upstream.flows_known", fields)]

    def _depart(self, event: upstream_departed.UpstreamDeparted) -> Actions:
        if not self.upstream.record_sign_off(event.instance_id):
            return []
        fields: Fields = {"instance": event.instance_id}
        actions: Actions = [log_line.LogLine("info", "upstream.departed", fields)]
        return actions + self._refuse_waiting(outcome.Outcome.CLOSED)

    def _end_upstream(self, now: float, event: upstream_ended.UpstreamEnded) -> Actions:
        is_overdue = self.upstream.is_overdue(now)
        if not is_overdue or not self.upstream.record_end(event.instance_id):
            return []
        fields: Fields = {"instance": event.instance_id}
        actions: Actions = [log_line.LogLine("warning", "upstream.ended", fields)]
        actions += self._refuse_waiting(outcome.Outcome.CLOSED)
        return actions + self._reset_flows("upstream has ended")

    def _reset_flows(self, reason: str) -> Actions:
        """Forget all flows, since the start of the upstream that held them has ended.

        Their callers would wait for an answer until their time limit.
        """
        self._held.mark_all_known()
        actions: Actions = []
        for key, flow in self._flows.clear():
            fields: Fields = {"flow": stream_key.text(key), "reason": reason}
            actions.append(log_line.LogLine("warning", "flow.lost", fields))
            if flow.is_confirmed:
                actions.append(self._reset(key, flow.caller_ack))
        return actions

    def _reset(self, key: bytes, ack: int) -> msgspec.Struct:
        host = stream_key.caller(key)[0]
        return send_caller.SendCaller(host, self._codec.reset(key, ack))

    def _change_view(self, now: float, view: fleet_view.FleetView) -> Actions:
        was_out = self._data_centre in self._view.zones_out
        is_out = self._data_centre in view.zones_out
        version = self._routes.version if self._routes is not None else 0
        self._view = view
        actions: Actions = []
        if view.configuration is not None and view.configuration.version > version:
            self._routes = route_table.RouteTable(view.configuration)
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
            actions.append(self._answer(flow, outcome.Outcome.UNRESPONSIVE))
            fields: Fields = {"flow": stream_key.text(key)}
            actions.append(log_line.LogLine("warning", "upstream.unresponsive", fields))
        for waiting in self._queue.take_expired(now):
            actions.append(self._refuse(waiting, outcome.Outcome.BUSY))
        idle = self._routes.idle_seconds if self._routes is not None else 0.0
        self._flows.sweep(now, idle)
        # All callers of a request have timed out after the longest time limit.
        working = self._routes.longest_timeout_seconds if self._routes else 0.0
        self._flows.release_stalled(now, MAX_OPENING_SECONDS, working)
        self._held.sweep(now)
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
        if flow is not None:
            self._record_caller_packet(now, flow, segment)
        return [send_upstream.SendUpstream(segment.data)]

    def _record_caller_packet(
        self, now: float, flow: owned_flow.OwnedFlow, segment: segment.Segment
    ) -> None:
        flow.last_at = now
        if segment.is_ack:
            flow.is_confirmed = True
            flow.caller_ack = segment.ack
        flow.has_caller_fin = flow.has_caller_fin or segment.is_fin or segment.is_reset
        if segment.is_reset:
            flow.has_upstream_fin = True
        if segment.size and self._is_new_data(flow, segment):
            flow.caller_end = (segment.sequence + segment.size) & 0xFFFFFFFF
            if flow.phase is flow_phase.FlowPhase.OPENING:
                self._capacity.record_opening_time(now - flow.phase_at)
            if flow.phase is not flow_phase.FlowPhase.WORKING:
                self._flows.move(flow, flow_phase.FlowPhase.WORKING, now)
        if flow.is_closed:
            self._flows.move(flow, flow_phase.FlowPhase.IDLE, now)

    def _is_new_data(
        self, flow: owned_flow.OwnedFlow, segment: segment.Segment
    ) -> bool:
        if flow.caller_end is None:
            return True
        ahead = (segment.sequence + segment.size - flow.caller_end) & 0xFFFFFFFF
        return 0 < ahead < SEQUENCE_WINDOW

    def _from_upstream(self, now: float, data: bytes) -> Actions:
        segment = self._codec.from_upstream(data)
        if isinstance(segment, failure.Failure):
            return self._drop(str(segment.reason))
        if segment.is_returned:
            return self._handle_returned(now, segment)
        flow = self._flows.get(segment.flow)
        if flow is None:
            # The flow is older than this process.
            flow = self._flows.add(segment.flow, now, flow_phase.FlowPhase.IDLE)
            flow.is_confirmed = not segment.is_open_reply
        host = stream_key.caller(segment.flow)[0]
        actions: Actions = [send_caller.SendCaller(host, data)]
        probed = self._held.take_probe(segment.flow)
        if probed is not None:
            # The entry forwards the packet once more, which is no new request then.
            self._record_caller_packet(now, flow, probed.segment)
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
        if segment.is_fin or segment.is_reset:
            flow.has_upstream_fin = True
            flow.has_caller_fin = flow.has_caller_fin or segment.is_reset
        has_answered = segment.size > 0 and flow.phase is flow_phase.FlowPhase.WORKING
        if has_answered:
            seconds = now - flow.phase_at
            self._capacity.record_service_time(seconds)
            actions.append(histogram_sample.HistogramSample("service_seconds", seconds))
        if has_answered or flow.is_closed:
            self._flows.move(flow, flow_phase.FlowPhase.IDLE, now)
        return actions + self._serve_waiting(now) if len(self._queue) else actions

    def _handle_returned(self, now: float, segment: segment.Segment) -> Actions:
        flow = self._flows.get(segment.flow)
        if flow is None:
            return self._answers.record_returned(segment.flow)
        if not segment.is_open:
            return self._handle_lost(segment, flow)
        if flow.phase is not flow_phase.FlowPhase.OFFERED:
            return []
        self._flows.remove(segment.flow)
        return [self._answer(flow, outcome.Outcome.FULL)]

    def _handle_lost(
        self, segment: segment.Segment, flow: owned_flow.OwnedFlow
    ) -> Actions:
        """Forget a flow that the upstream does not hold any more.

        A flow that is not established may be held by another upstream.
        """
        self._flows.remove(segment.flow)
        if not flow.is_established or flow.is_closed:
            return []
        fields: Fields = {
            "flow": stream_key.text(segment.flow),
            "reason": "upstream has returned a packet",
        }
        lost = log_line.LogLine("warning", "flow.lost", fields)
        return [lost, self._reset(segment.flow, segment.ack)]

    # Admission of new flows

    def _offer(self, now: float, source: Address, message: offer.Offer) -> Actions:
        segment = self._codec.from_caller(message.packet)
        if isinstance(segment, failure.Failure) or not segment.is_open:
            return self._drop("offer without an opening packet")
        flow = self._flows.get(segment.flow)
        if flow is not None:
            return self._repeat(source, message, flow)
        if segment.flow in self._queue:
            return [self._verdict(source, message.offer_id, outcome.Outcome.QUEUED)]
        refusal = self._admission.refusal(
            now, segment.flow, message.version, self.is_accepting(now)
        )
        if refusal is None:
            return self._open(now, source, message.offer_id, segment.flow, segment.data)
        matched_route = (
            self._routes.find(segment.flow) if self._routes is not None else None
        )
        may_wait = message.may_wait and refusal is outcome.Outcome.BUSY
        if (
            may_wait
            and matched_route is not None
            and self._admission.can_wait(matched_route)
        ):
            self._wait(now, source, message, segment.flow, matched_route)
            return [self._verdict(source, message.offer_id, outcome.Outcome.QUEUED)]
        return [self._verdict(source, message.offer_id, refusal)]

    def _repeat(
        self, source: Address, message: offer.Offer, flow: owned_flow.OwnedFlow
    ) -> Actions:
        """Forward a repeated opening packet; the answer to it may have been lost."""
        if flow.phase is flow_phase.FlowPhase.OFFERED:
            flow.entry, flow.offer_id = source, message.offer_id
        accepted = self._verdict(source, message.offer_id, outcome.Outcome.ACCEPTED)
        if flow.is_confirmed:
            return [accepted]
        return [send_upstream.SendUpstream(message.packet), accepted]

    def _open(
        self, now: float, source: Address, offer_id: int, key: bytes, packet: bytes
    ) -> Actions:
        flow = self._flows.add(key, now, flow_phase.FlowPhase.OFFERED)
        flow.entry, flow.offer_id = source, offer_id
        self._starts.record(now)
        return [send_upstream.SendUpstream(packet)]

    def _wait(
        self,
        now: float,
        source: Address,
        message: offer.Offer,
        key: bytes,
        matched_route: route.Route,
    ) -> None:
        self._queue_number += 1
        limit = self._admission.max_wait_seconds(matched_route)
        waiting = waiting_flow.WaitingFlow(
            matched_route.priority,
            self._queue_number,
            now + limit,
            message.offer_id,
            source,
            key,
            message.packet,
        )
        self._queue.put(waiting)

    def _serve_waiting(self, now: float) -> Actions:
        actions: Actions = []
        while self._admission.may_serve_waiting(now):
            waiting = self._queue.pop()
            if waiting is not None:
                actions += self._open(
                    now, waiting.entry, waiting.offer_id, waiting.flow, waiting.packet
                )
        return actions

    def _refuse_waiting(self, reason: outcome.Outcome) -> Actions:
        return [self._refuse(waiting, reason) for waiting in self._queue.take_all()]

    def _refuse(
        self, waiting: waiting_flow.WaitingFlow, reason: outcome.Outcome
    ) -> msgspec.Struct:
        return self._verdict(waiting.entry, waiting.offer_id, reason)

    def _answer(
        self, flow: owned_flow.OwnedFlow, result: outcome.Outcome
    ) -> msgspec.Struct:
        return self._verdict(flow.entry, flow.offer_id, result)

    def _verdict(
        self, target: Address, offer_id: int, result: outcome.Outcome
    ) -> msgspec.Struct:
        self.outcomes[result.name] = self.outcomes.get(result.name, 0) + 1
        limit = self._capacity.limit()
        occupied = self._flows.occupied + len(self._queue)
        wait = self._admission.wait_seconds(0) if occupied >= limit else 0.0
        message = verdict.Verdict(
            offer_id,
            result,
            int(wait * 1000),
            int(self._capacity.service_seconds * 1000),
            100 * occupied // limit,
        )
        return _node(target, message)


def _node(target: Address, message: stream_codec.Message) -> msgspec.Struct:
    return send_node.SendNode(target, stream_codec.encode(message))
