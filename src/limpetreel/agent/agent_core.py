"""Decisions of an agent."""

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

FLOW_CHECK_SECONDS = 5.0
SECONDS_PER_MINUTE = 60


class AgentCore(core.Core):
    """Serves the flows of one upstream and routes those of its buckets.

    Parameters
    ----------
    link : NodeLink
        Identity, table and serving right of the node.
    protocol : CallerProtocol
        Protocol of callers and the upstream.
    seed : int
        Seed of the jitter of retry hints.
    """

    def __init__(
        self,
        link: node_link.NodeLink,
        protocol: caller_protocol.CallerProtocol,
        seed: int,
    ) -> None:
        self.link = link
        self._ident = link.identity
        self._protocol = protocol
        self._seed = seed
        self._assignments = assignments.Assignments(link.table)
        self._back = return_path.ReturnPath(link.table)
        self._revision = -1
        self._members: dict[int, member_record.MemberRecord] = {}
        self._class: class_record.ClassRecord | None = None
        self._router: flow_router.FlowRouter | None = None
        self._requests: request_service.RequestService | None = None
        self._run_id = ""
        self._sockets: dict[address.Address, None] = {}
        self._next_flow_check = 0.0
        self.dropped: dict[reason.Reason, int] = {}
        self.relays = 0

    @property
    def all_dropped(self) -> dict[reason.Reason, int]:
        """Drops of this core and of its requests, by reason."""
        total = collections.Counter(self.dropped)
        if self._requests is not None:
            total.update(self._requests.dropped)
        return total

    def handle(self, now: float, event: msgspec.Struct) -> list[msgspec.Struct]:
        """Take one event; see `core.Core.handle`."""
        found = self._dispatch(now, event)
        return self._carry_out(now, found)

    def _dispatch(self, now: float, event: msgspec.Struct) -> Actions:
        if isinstance(event, frame_arrived.FrameArrived):
            return self._receive(now, event)
        if isinstance(event, upstream_datagram.UpstreamDatagram):
            return self._from_upstream(now, event)
        if isinstance(event, tick.Tick):
            return self._tick(now)
        if isinstance(event, upstream_announced.UpstreamAnnounced):
            return self._announced(now, event)
        if isinstance(event, drain_requested.DrainRequested):
            return self._drain(now)
        if isinstance(event, leave_requested.LeaveRequested):
            return [*self.link.leave(now)]
        raise TypeError(type(event))

    def _tick(self, now: float) -> Actions:
        actions: Actions = []
        # An agent joins only once its upstream has announced itself.
        if self._run_id:
            actions += self.link.tick(now)
        actions += self._follow_table(now)
        if self._router is not None and self._requests is not None:
            actions += self._router.handle(now, flow_tick.Tick())
            actions += self._requests.tick(now)
            # Equal numbers of slots bear unequal rates where speeds differ, so
            # shares follow the rate.
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

    def _announced(
        self, now: float, event: upstream_announced.UpstreamAnnounced
    ) -> Actions:
        if event.class_name != self._ident.class_name:
            return self._drop(reason.Reason.WRONG_CLASS)
        restarted = bool(self._run_id) and event.run_id != self._run_id
        self._run_id = event.run_id
        if event.draining and not self.link.is_draining:
            return self._drain(now)
        if restarted and self._requests is not None:
            return self._requests.upstream_restarted(now)
        return []

    def _receive(self, now: float, event: frame_arrived.FrameArrived) -> Actions:
        if event.frame.kind in (kind.Kind.FORWARD, kind.Kind.RELAY):
            return self._packet(now, event)
        if event.frame.kind != kind.Kind.MESSAGE:
            return self._drop(reason.Reason.UNKNOWN_KIND)
        message = message_codec.decode(event.frame.body)
        if isinstance(message, failure.Failure):
            return self._drop(message.reason)
        if isinstance(message, router_message.RouterMessage):
            return self._peer_message(now, event.frame, message)
        sends = self.link.receive(now, event.source, event.frame.incarnation, message)
        return [*sends, *self._follow_table(now)]

    def _peer_message(
        self,
        now: float,
        received: frame.Frame,
        message: router_message.RouterMessage,
    ) -> Actions:
        if self._router is None or self._requests is None:
            return self._drop(reason.Reason.NO_MEMBER)
        sender = (received.sender, received.incarnation)
        if isinstance(message, claim_ack.ClaimAck):
            return self._requests.acknowledge(now, sender, message)
        accepts, hops = False, 0
        if isinstance(message, offer_refused.OfferRefused):
            accepts = self._requests.admission.can_accept_flow(now, is_last=True)
            found = packet.decode(message.datagram)
            hops = packet.MAX_HOPS
            if not isinstance(found, failure.Failure):
                hops = found.hops
        arrived = message_arrived.MessageArrived(*sender, message, accepts, hops)
        return self._router.handle(now, arrived)

    def _packet(self, now: float, event: frame_arrived.FrameArrived) -> Actions:
        found = packet.decode(event.frame.body)
        if isinstance(found, failure.Failure):
            return self._drop(found.reason)
        if self._class is None or self._router is None or self._requests is None:
            return self._drop(reason.Reason.NO_MEMBER)
        if found.class_id != self._class.class_id:
            return self._report_mismatch(event, found.class_id)
        # A flow is placed before its owner reads the request; without this check
        # any datagram would take a place in the directory.
        if not self._protocol.is_message(found.datagram):
            return self._drop(reason.Reason.MALFORMED)
        actions: Actions = [
            *self.link.hear_peer(
                now,
                event.source,
                event.frame.incarnation,
                found.lease_ms,
                found.revision,
            )
        ]
        if not self.link.right.may_serve(now, self.link.table):
            return actions + self._drop(reason.Reason.NO_LEASE)
        return actions + self._route(now, event.frame, found)

    def _report_mismatch(
        self, event: frame_arrived.FrameArrived, class_id: int
    ) -> Actions:
        """Drop a packet and tell its sender that its table is out of date."""
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
        self, now: float, received: frame.Frame, found: packet.Packet
    ) -> Actions:
        if self._router is None or self._requests is None:
            return self._drop(reason.Reason.NO_MEMBER)
        flow = flow_key.FlowKey(found.class_id, found.caller)
        if found.mode == mode.Mode.FIND and not self._router.owns(flow):
            again = self._requests.recorded_refusal(now, flow, found)
            if again is not None:
                return again
        arrived = packet_arrived.PacketArrived(
            flow=flow,
            mode=found.mode,
            hops=found.hops,
            sender=received.sender,
            incarnation=received.incarnation,
            accepts=self._requests.admission.can_accept_flow(now),
            datagram=received.body,
            accepts_wait=self._requests.admission.can_accept_flow(now, is_last=True),
        )
        return self._router.handle(now, arrived)

    def _from_upstream(
        self, now: float, event: upstream_datagram.UpstreamDatagram
    ) -> Actions:
        if self._class is None or self._requests is None:
            return self._drop(reason.Reason.STALE)
        flow = flow_key.FlowKey(self._class.class_id, event.caller)
        actions = self._requests.from_upstream(now, flow, event.datagram)
        if not self.link.right.may_serve(now, self.link.table):
            # The answer shows that the upstream is well, but goes nowhere. Without
            # it the upstream would be taken for a cold one when the zone returns.
            return self._drop(reason.Reason.NO_LEASE)
        return actions

    def _carry_out(self, now: float, found: Actions) -> Actions:
        """Turn actions of the parts into actions of the shell.

        Messages to this agent itself are handled at once, since it may be primary
        or backup of a bucket whose flow it owns.
        """
        actions: Actions = []
        todo = collections.deque(found)
        while todo:
            action = todo.popleft()
            if isinstance(action, serve.Serve):
                todo.extendleft(reversed(self._serve(now, action)))
            elif isinstance(action, refuse.Refuse):
                todo.extendleft(reversed(self._refuse(now, action)))
            elif isinstance(action, relay.Relay):
                actions += self._relay(now, action)
            elif isinstance(action, send.Send):
                todo.extendleft(reversed(self._send(now, action)))
            elif isinstance(action, drop.Drop):
                self._drop(action.reason)
            else:
                if isinstance(action, send_upstream.SendUpstream):
                    # A request may have waited since its zone was taken out.
                    if not self.link.right.may_serve(now, self.link.table):
                        self._drop(reason.Reason.NO_LEASE)
                        continue
                    self._sockets[action.caller] = None
                actions.append(action)
        return actions

    def _serve(self, now: float, action: serve.Serve) -> Actions:
        found = packet.decode(action.datagram)
        if isinstance(found, failure.Failure) or self._class is None:
            return self._drop(reason.Reason.MALFORMED)
        if self._requests is None:
            return self._drop(reason.Reason.NO_MEMBER)
        actions = self._requests.serve(now, action.flow, found, self._class.answer_ms)
        if found.trace_id:
            attributes = {"new_flow": str(action.is_new), "hops": str(found.hops)}
            actions.append(
                record_span.RecordSpan(
                    found.trace_id, "agent.serve", now, now, attributes
                )
            )
        return actions

    def _refuse(self, now: float, action: refuse.Refuse) -> Actions:
        found = packet.decode(action.datagram)
        if isinstance(found, failure.Failure) or self._requests is None:
            return self._drop(reason.Reason.MALFORMED)
        return self._requests.refuse(now, action.flow, found)

    def _relay(self, now: float, action: relay.Relay) -> Actions:
        target = self._members.get(action.target)
        found = packet.decode(action.datagram)
        if target is None or isinstance(found, failure.Failure):
            return self._drop(reason.Reason.NO_MEMBER)
        self.relays += 1
        body = packet.encode(
            msgspec.structs.replace(
                found,
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
        if found.trace_id:
            attributes = {"to": target.name, "mode": mode.Mode(action.mode).name}
            actions.append(
                record_span.RecordSpan(
                    found.trace_id, "agent.relay", now, now, attributes
                )
            )
        return actions

    def _send(self, now: float, action: send.Send) -> Actions:
        if action.target == self.link.node_id:
            if action.incarnation != self._ident.incarnation:
                return []
            own = frame.Frame(
                kind.Kind.MESSAGE, action.target, action.incarnation, 0, b""
            )
            return self._peer_message(now, own, action.message)
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

    def _follow_table(self, now: float) -> Actions:
        """Take over a new table."""
        records = self.link.table
        if records.revision == self._revision:
            return []
        self._revision = records.revision
        self._class = records.class_by_name(self._ident.class_name)
        self._members = {
            m.node_id: m for m in records.agents_of(self._ident.class_name)
        }
        if self._class is None:
            return []
        # Until the table holds this incarnation, it cannot tell whether an earlier
        # one has served the class.
        if self._router is None and self.link.own_record is not None:
            self._start(now, self._class, self.link.own_record)
        if self._router is None:
            return []
        actions: Actions = []
        if self._requests and not records.is_zone_serving(self._ident.zone):
            actions += self._requests.forget_waiting(now)
        view = class_view.from_table(records, self._class, self._assignments)
        return actions + self._router.handle(now, table_changed.TableChanged(view))

    def _start(
        self,
        now: float,
        record: class_record.ClassRecord,
        own: member_record.MemberRecord,
    ) -> None:
        """Build the parts that need the class."""
        self._router = flow_router.FlowRouter(
            record.class_id,
            (self.link.node_id, self._ident.incarnation),
            self._ident.region,
            first_start=own.first_incarnation == own.incarnation,
        )
        cfg = admission_settings.AdmissionSettings(
            answer_seconds=record.answer_ms / 1000, peer=self._ident.name
        )
        self._requests = request_service.RequestService(
            record.class_id,
            self._router,
            admission_controller.AdmissionController(cfg, self._seed, now),
            self._protocol,
            self._back,
            self.link.right,
            self._ident.incarnation,
        )
        if self.link.is_draining:
            self._requests.admission.drain(now)

    def _close_idle_sockets(self, now: float) -> Actions:
        """Close the upstream sockets of flows that are no longer owned."""
        if now < self._next_flow_check or self._class is None or self._router is None:
            return []
        self._next_flow_check = now + FLOW_CHECK_SECONDS
        class_id = self._class.class_id
        idle = [
            caller
            for caller in self._sockets
            if not self._router.owns(flow_key.FlowKey(class_id, caller))
        ]
        for caller in idle:
            del self._sockets[caller]
        return [close_flow.CloseFlow(caller) for caller in idle]

    def _drop(self, why: reason.Reason) -> Actions:
        self.dropped[why] = self.dropped.get(why, 0) + 1
        return []
