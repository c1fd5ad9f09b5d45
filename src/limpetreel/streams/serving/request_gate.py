"""Holds requests on open flows while the upstream has no free slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams import flow_phase, stream_key
from limpetreel.streams.actions import histogram_sample, log_line, send_upstream
from limpetreel.streams.serving import flow_admission, held_request, request_tracker

if TYPE_CHECKING:
    import msgspec

    from limpetreel.configuration import route
    from limpetreel.streams import flow_set, owned_flow, segment
    from limpetreel.streams.serving import waiting_queue

    Actions = list[msgspec.Struct]


class RequestGate:
    """Forwards packets of open flows, and holds those of a request that must wait.

    A request that is held has not run. It is forwarded when a slot is free, when its
    wait expires, and when it exceeds the bounds; its caller discards it with a FIN or
    RST.

    Parameters
    ----------
    flows : FlowSet
        Flows of the upstream.
    queue : WaitingQueue
        What waits for a slot.
    tracker : RequestTracker
        Records packets that are sent to the upstream.
    admission : FlowAdmission
        Tells routes and whether a slot is free.
    """

    def __init__(
        self,
        flows: flow_set.FlowSet,
        queue: waiting_queue.WaitingQueue,
        tracker: request_tracker.RequestTracker,
        admission: flow_admission.FlowAdmission,
    ) -> None:
        self._flows = flows
        self._queue = queue
        self._tracker = tracker
        self._admission = admission
        self.held_by_kind: dict[str, int] = {}

    def forward(
        self, now: float, flow: owned_flow.OwnedFlow, packet: segment.Segment
    ) -> Actions:
        """Forward or hold a packet of the caller."""
        held = self._queue.get_request(flow)
        if held is not None:
            return self._continue(now, flow, held, packet)
        is_idle = flow.phase is flow_phase.FlowPhase.IDLE
        if packet.size and is_idle and _may_hold(flow, packet):
            if not self._admission.has_free_slot():
                return self._hold(now, flow, packet)
            self._queue.record_served(now, flow.key, is_opening=False)
        return self._send(now, flow, packet)

    def release(
        self, now: float, held: held_request.HeldRequest, is_forced: bool
    ) -> Actions:
        """Forward a request that has been taken out of the queue.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        held : HeldRequest
            The request.
        is_forced : bool
            Whether no slot is free for it.
        """
        flow = held.flow
        if self._flows.get(flow.key) is not flow:
            return []
        seconds = now - held.arrived_at
        actions: Actions = [histogram_sample.HistogramSample("held_seconds", seconds)]
        if now > held.answer_at:
            fields: dict[str, str | int | float] = {
                "flow": stream_key.text(flow.key),
                "route": held.route.name,
                "held_ms": int(seconds * 1000),
            }
            actions.append(log_line.LogLine("warning", "request.released", fields))
        for packet in held.packets():
            actions += self._send(now, flow, packet)
        if is_forced:
            flow.forced_priority = held.route.priority
        return actions

    def _hold(
        self, now: float, flow: owned_flow.OwnedFlow, packet: segment.Segment
    ) -> Actions:
        """Hold the first packet of a request."""
        matched_route = self._admission.find_route(flow.key)
        if matched_route is None:
            return self._send(now, flow, packet)
        seconds = flow_admission.hold_seconds(matched_route)
        if seconds <= 0:
            return self._send(now, flow, packet)
        held = held_request.HeldRequest(flow, matched_route, now, now + seconds)
        running = self._flows.count_occupying(flow.key[:4])
        if not self._queue.put_request(held, packet, running):
            return self._send(now, flow, packet)
        flow.last_at = now
        self._count(matched_route)
        return []

    def _continue(
        self,
        now: float,
        flow: owned_flow.OwnedFlow,
        held: held_request.HeldRequest,
        packet: segment.Segment,
    ) -> Actions:
        """Handle a packet of a flow whose request is held."""
        if packet.is_reset or (packet.is_fin and not packet.size):
            self._queue.remove(held)
            return self._send(now, flow, packet)
        if not packet.size or not request_tracker.is_new_data(flow, packet):
            return self._send(now, flow, packet)
        flow.last_at = now
        if not packet.is_fin and self._queue.hold(held, packet):
            return []
        self._queue.remove(held)
        released = self.release(now, held, is_forced=True)
        return released + self._send(now, flow, packet)

    def _send(
        self, now: float, flow: owned_flow.OwnedFlow, packet: segment.Segment
    ) -> Actions:
        self._tracker.record_caller_packet(now, flow, packet)
        return [send_upstream.SendUpstream(packet.data)]

    def _count(self, matched_route: route.Route) -> None:
        kind = str(matched_route.kind)
        self.held_by_kind[kind] = self.held_by_kind.get(kind, 0) + 1


def _may_hold(flow: owned_flow.OwnedFlow, packet: segment.Segment) -> bool:
    """Return whether a packet starts a request that its caller still waits for.

    The first data of a flow is covered by the admission of its opening, and of a flow
    that is older than this process it may belong to a request that was forwarded.
    """
    if flow.caller_end is None or flow.has_caller_fin or packet.is_fin:
        return False
    return request_tracker.is_new_data(flow, packet)
