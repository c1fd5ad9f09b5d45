"""Decision logic of an agent."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from limpetreel.admission import admission_controller, admission_settings
from limpetreel.agent import request_service, return_path
from limpetreel.agent.actions import close_flow, send_upstream
from limpetreel.agent.events import (
    drain_requested,
    upstream_announced,
    upstream_datagram,
)
from limpetreel.assignment import assignments
from limpetreel.core import core, failure, reason
from limpetreel.flows import (
    class_view,
    drop,
    flow_key,
    flow_router,
    message_arrived,
    packet_arrived,
    refuse,
    relay,
    router_message,
    send,
    serve,
    table_changed,
)
from limpetreel.flows import tick as flow_tick
from limpetreel.messages import claim_ack, mismatch, offer_refused
from limpetreel.node import (
    drained,
    frame_arrived,
    leave_requested,
    record_span,
    send_frame,
    tick,
)
from limpetreel.wire import address, frame, kind, message_codec, mode, packet

if TYPE_CHECKING:
    from limpetreel.agent import caller_protocol
    from limpetreel.catalog import class_record, member_record
    from limpetreel.node import node_link

    Actions = list[msgspec.Struct]

SOCKET_CHECK_SECONDS = 5.0
SECONDS_PER_MINUTE = 60
OVERDUE_SECONDS = 1.4
"""Time after which the next announcement is overdue; they come once a second."""


class AgentCore(core.Core):
    """Serves the flows of one upstream and routes the flows of its buckets.

    Parameters
    ----------
    link : NodeLink
        Identity, table and serving right of the node.
    protocol : CallerProtocol
        Protocol of callers and the upstream.
    seed : int
        Seed of the jitter in retry hints.
    """

    def __init__(
        self,
        link: node_link.NodeLink,
        protocol: caller_protocol.CallerProtocol,
        seed: int,
    ) -> None:
        self.link = link
        self._identity = link.identity
        self._protocol = protocol
        self._seed = seed
        self._assignments = assignments.Assignments(link.table)
        self._return_path = return_path.ReturnPath(link.table)
        self._revision = -1
        self._members: dict[int, member_record.MemberRecord] = {}
        self._class: class_record.ClassRecord | None = None
        self._router: flow_router.FlowRouter | None = None
        self._requests: request_service.RequestService | None = None
        self._run_id: str | None = None
        self._announced_at = float("-inf")
        self._callers_with_socket: dict[address.Address, None] = {}
        self._next_socket_check = 0.0
        self.dropped: dict[reason.Reason, int] = {}
        self.relays = 0

    @property
    def all_dropped(self) -> dict[reason.Reason, int]:
        """Number of drops in this core and its request service, by reason."""
        total = collections.Counter(self.dropped)
        if self._requests is not None:
            total.update(self._requests.dropped)
        return total

    def handle(self, now: float, event: msgspec.Struct) -> list[msgspec.Struct]:
        """Handle one event; see `core.Core.handle`."""
        return self._resolve_actions(now, self._dispatch(now, event))

    def _dispatch(self, now: float, event: msgspec.Struct) -> Actions:
        if isinstance(event, frame_arrived.FrameArrived):
            return self._receive(now, event)
        if isinstance(event, upstream_datagram.UpstreamDatagram):
            return self._handle_upstream_datagram(now, event)
        if isinstance(event, tick.Tick):
            return self._tick(now)
        if isinstance(event, upstream_announced.UpstreamAnnounced):
            return self._handle_announcement(now, event)
        if isinstance(event, drain_requested.DrainRequested):
            return self._drain(now)
        if isinstance(event, leave_requested.LeaveRequested):
            return [*self.link.leave(now)]
        raise TypeError(type(event))

    def _tick(self, now: float) -> Actions:
        actions: Actions = []
        # The agent joins only after its upstream has announced itself.
        if self._run_id is not None:
            actions += self.link.tick(now)
        actions += self._apply_table(now)
        if self._router is not None and self._requests is not None:
            actions += self._router.handle(now, flow_tick.Tick())
            actions += self._requests.tick(now)
            # Upstreams of different speed serve different rates with the same number
            # of slots, so the shares are based on the rate.
            rate = self._requests.admission.throughput()
            self.link.report_capacity(round(rate * SECONDS_PER_MINUTE))
            actions += self._close_idle_sockets(now)
        if self.link.is_draining and not self._has_work(now):
            actions.append(drained.Drained())
        return actions

    def _has_work(self, now: float) -> bool:
        if self._router is None or self._requests is None:
            return False
        if self._requests.open_count:
            return True
        return self._router.has_recent_flow(now)

    def _drain(self, now: float) -> Actions:
        self.link.drain()
        if self._requests is None:
            return []
        return self._requests.drain(now)

    def _handle_announcement(
        self, now: float, event: upstream_announced.UpstreamAnnounced
    ) -> Actions:
        if event.class_name != self._identity.class_name:
            return self._drop(reason.Reason.WRONG_CLASS)
        restarted = self._run_id is not None and event.run_id != self._run_id
        if restarted and now - self._announced_at <= OVERDUE_SECONDS:
            return self._expect_cold(now)
        self._run_id, self._announced_at = event.run_id, now
        if event.draining and not self.link.is_draining:
            return self._drain(now)
        if restarted and self._requests is not None:
            return self._requests.upstream_restarted(now)
        return []

    def _expect_cold(self, now: float) -> Actions:
        """Treat the upstream as cold, since it may have restarted.

        The announcement may also be that of another writer. The run that is known is
        believed until it has missed its own next announcement.
        """
        self._drop(reason.Reason.STALE)
        if self._requests is None:
            return []
        return self._requests.expect_cold(now)

    def _receive(self, now: float, event: frame_arrived.FrameArrived) -> Actions:
        if event.frame.kind in (kind.Kind.FORWARD, kind.Kind.RELAY):
            return self._handle_packet(now, event)
        if event.frame.kind != kind.Kind.MESSAGE:
            return self._drop(reason.Reason.UNKNOWN_KIND)
        message = message_codec.decode(event.frame.body)
        if isinstance(message, failure.Failure):
            return self._drop(message.reason)
        if isinstance(message, router_message.RouterMessage):
            return self._handle_peer_message(now, event.frame, message)
        sends = self.link.receive(now, event.source, event.frame.incarnation, message)
        return [*sends, *self._apply_table(now)]

    def _handle_peer_message(
        self,
        now: float,
        received_frame: frame.Frame,
        message: router_message.RouterMessage,
    ) -> Actions:
        if self._router is None or self._requests is None:
            return self._drop(reason.Reason.NO_MEMBER)
        sender = (received_frame.sender, received_frame.incarnation)
        if isinstance(message, claim_ack.ClaimAck):
            return self._requests.acknowledge(now, sender, message)
        accepts, hops = False, 0
        if isinstance(message, offer_refused.OfferRefused):
            accepts = self._requests.admission.can_accept_flow(now, is_last=True)
            offered = packet.decode(message.datagram)
            hops = packet.MAX_HOPS
            if not isinstance(offered, failure.Failure):
                hops = offered.hops
        arrived = message_arrived.MessageArrived(*sender, message, accepts, hops)
        return self._router.handle(now, arrived)

    def _handle_packet(self, now: float, event: frame_arrived.FrameArrived) -> Actions:
        received = packet.decode(event.frame.body)
        if isinstance(received, failure.Failure):
            return self._drop(received.reason)
        if self._class is None or self._router is None or self._requests is None:
            return self._drop(reason.Reason.NO_MEMBER)
        if received.class_id != self._class.class_id:
            return self._report_mismatch(event, received.class_id)
        # A flow is placed before its owner decodes the request, so without this check
        # any datagram would occupy an entry of the directory.
        if not self._protocol.is_message(received.datagram):
            return self._drop(reason.Reason.MALFORMED)
        actions: Actions = [
            *self.link.handle_peer_state(
                now,
                event.source,
                event.frame.incarnation,
                received.lease_ms,
                received.revision,
            )
        ]
        if not self.link.right.may_serve(now, self.link.table):
            return actions + self._drop(reason.Reason.NO_LEASE)
        return actions + self._route(now, event.frame, received)

    def _report_mismatch(
        self, event: frame_arrived.FrameArrived, class_id: int
    ) -> Actions:
        """Drop a packet and report to its sender that its table is outdated."""
        self._drop(reason.Reason.WRONG_CLASS)
        report = mismatch.Mismatch(class_id, self.link.table.revision)
        return [
            send_frame.SendFrame(
                event.source,
                event.frame.incarnation,
                kind.Kind.MESSAGE,
                message_codec.encode(report),
            )
        ]

    def _route(
        self, now: float, received_frame: frame.Frame, received: packet.Packet
    ) -> Actions:
        if self._router is None or self._requests is None:
            return self._drop(reason.Reason.NO_MEMBER)
        flow = flow_key.FlowKey(received.class_id, received.caller)
        if received.mode == mode.Mode.FIND and not self._router.owns(flow):
            refusal = self._requests.repeat_refusal(now, flow, received)
            if refusal is not None:
                return refusal
        arrived = packet_arrived.PacketArrived(
            flow=flow,
            mode=received.mode,
            hops=received.hops,
            sender=received_frame.sender,
            incarnation=received_frame.incarnation,
            accepts=self._requests.admission.can_accept_flow(now),
            datagram=received_frame.body,
            accepts_wait=self._requests.admission.can_accept_flow(now, is_last=True),
        )
        return self._router.handle(now, arrived)

    def _handle_upstream_datagram(
        self, now: float, event: upstream_datagram.UpstreamDatagram
    ) -> Actions:
        if self._class is None or self._requests is None:
            return self._drop(reason.Reason.STALE)
        flow = flow_key.FlowKey(self._class.class_id, event.caller)
        actions = self._requests.handle_upstream_datagram(now, flow, event.datagram)
        if not self.link.right.may_serve(now, self.link.table):
            # The answer is dropped but still counted by the admission control.
            # Otherwise the upstream would be treated as cold when the zone returns.
            return self._drop(reason.Reason.NO_LEASE)
        return actions

    def _resolve_actions(self, now: float, pending: Actions) -> Actions:
        """Turn actions of the router and the requests into actions of the shell.

        Messages to this agent itself are handled at once, since it may be primary
        or backup of a bucket whose flow it owns.
        """
        actions: Actions = []
        queue = collections.deque(pending)
        while queue:
            action = queue.popleft()
            if isinstance(action, serve.Serve):
                queue.extendleft(reversed(self._serve(now, action)))
            elif isinstance(action, refuse.Refuse):
                queue.extendleft(reversed(self._refuse(now, action)))
            elif isinstance(action, relay.Relay):
                actions += self._relay(now, action)
            elif isinstance(action, send.Send):
                queue.extendleft(reversed(self._send(now, action)))
            elif isinstance(action, drop.Drop):
                self._drop(action.reason)
            else:
                if isinstance(action, send_upstream.SendUpstream):
                    # The request may have been queued before its zone was taken out.
                    if not self.link.right.may_serve(now, self.link.table):
                        self._drop(reason.Reason.NO_LEASE)
                        continue
                    self._callers_with_socket[action.caller] = None
                actions.append(action)
        return actions

    def _serve(self, now: float, action: serve.Serve) -> Actions:
        received = packet.decode(action.datagram)
        if isinstance(received, failure.Failure) or self._class is None:
            return self._drop(reason.Reason.MALFORMED)
        if self._requests is None:
            return self._drop(reason.Reason.NO_MEMBER)
        actions = self._requests.serve(
            now, action.flow, received, self._class.answer_ms
        )
        if received.trace_id:
            attributes = {"new_flow": str(action.is_new), "hops": str(received.hops)}
            actions.append(
                record_span.RecordSpan(
                    received.trace_id, "agent.serve", now, now, attributes
                )
            )
        return actions

    def _refuse(self, now: float, action: refuse.Refuse) -> Actions:
        received = packet.decode(action.datagram)
        if isinstance(received, failure.Failure) or self._requests is None:
            return self._drop(reason.Reason.MALFORMED)
        return self._requests.refuse(now, action.flow, received)

    def _relay(self, now: float, action: relay.Relay) -> Actions:
        target = self._members.get(action.target)
        received = packet.decode(action.datagram)
        if target is None or isinstance(received, failure.Failure):
            return self._drop(reason.Reason.NO_MEMBER)
        self.relays += 1
        body = packet.encode(
            msgspec.structs.replace(
                received,
                hops=action.hops,
                mode=action.mode,
                lease_ms=self.link.right.lease_ms(now),
                revision=self.link.table.revision,
            )
        )
        actions: Actions = [
            send_frame.SendFrame(
                address.from_socket((target.host, target.port)),
                action.incarnation,
                kind.Kind.RELAY,
                body,
            )
        ]
        if received.trace_id:
            attributes = {"to": target.name, "mode": mode.Mode(action.mode).name}
            actions.append(
                record_span.RecordSpan(
                    received.trace_id, "agent.relay", now, now, attributes
                )
            )
        return actions

    def _send(self, now: float, action: send.Send) -> Actions:
        if action.target == self.link.node_id:
            if action.incarnation != self._identity.incarnation:
                return []
            local_frame = frame.Frame(
                kind.Kind.MESSAGE, action.target, action.incarnation, 0, b""
            )
            return self._handle_peer_message(now, local_frame, action.message)
        target = self._members.get(action.target)
        if target is None:
            return self._drop(reason.Reason.NO_MEMBER)
        return [
            send_frame.SendFrame(
                address.from_socket((target.host, target.port)),
                action.incarnation,
                kind.Kind.MESSAGE,
                message_codec.encode(action.message),
            )
        ]

    def _apply_table(self, now: float) -> Actions:
        """Apply the table of the node if its revision changed."""
        table = self.link.table
        if table.revision == self._revision:
            return []
        self._revision = table.revision
        self._class = table.class_by_name(self._identity.class_name)
        self._members = {
            m.node_id: m for m in table.agents_of(self._identity.class_name)
        }
        if self._class is None:
            return []
        # Only the record of this incarnation shows whether an earlier incarnation
        # has served the class.
        if self._router is None and self.link.own_record is not None:
            self._create_services(now, self._class, self.link.own_record)
        if self._router is None:
            return []
        actions: Actions = []
        if self._requests and not table.is_zone_serving(self._identity.zone):
            actions += self._requests.drop_queued(now)
        view = class_view.from_table(table, self._class, self._assignments)
        return actions + self._router.handle(now, table_changed.TableChanged(view))

    def _create_services(
        self,
        now: float,
        record: class_record.ClassRecord,
        member: member_record.MemberRecord,
    ) -> None:
        """Create the router and the request service of the class."""
        self._router = flow_router.FlowRouter(
            record.class_id,
            (self.link.node_id, self._identity.incarnation),
            self._identity.region,
            first_start=member.first_incarnation == member.incarnation,
        )
        cfg = admission_settings.AdmissionSettings(
            answer_seconds=record.answer_ms / 1000, peer=self._identity.name
        )
        self._requests = request_service.RequestService(
            record.class_id,
            self._router,
            admission_controller.AdmissionController(cfg, self._seed, now),
            self._protocol,
            self._return_path,
            self.link.right,
            self._identity.incarnation,
        )
        if self.link.is_draining:
            self._requests.admission.drain(now)

    def _close_idle_sockets(self, now: float) -> Actions:
        """Close the upstream sockets of flows that are no longer owned."""
        if now < self._next_socket_check or self._class is None or self._router is None:
            return []
        self._next_socket_check = now + SOCKET_CHECK_SECONDS
        class_id = self._class.class_id
        idle = [
            caller
            for caller in self._callers_with_socket
            if not self._router.owns(flow_key.FlowKey(class_id, caller))
        ]
        for caller in idle:
            del self._callers_with_socket[caller]
        return [close_flow.CloseFlow(caller) for caller in idle]

    def _drop(self, drop_reason: reason.Reason) -> Actions:
        self.dropped[drop_reason] = self.dropped.get(drop_reason, 0) + 1
        return []
