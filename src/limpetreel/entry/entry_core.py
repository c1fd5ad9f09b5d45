"""Decision logic of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.assignment import assignments, class_assignment
from limpetreel.core import core, failure, reason
from limpetreel.entry import owner_hints
from limpetreel.entry.actions import close_class, open_class, send_caller
from limpetreel.entry.events import caller_datagram
from limpetreel.flows import flow_key
from limpetreel.node import (
    frame_arrived,
    leave_requested,
    node_link,
    record_span,
    send_frame,
    tick,
)
from limpetreel.wire import address, kind, message_codec, mode, packet

if TYPE_CHECKING:
    import msgspec

_HASH_MULTIPLIER = 0x9E3779B97F4A7C15
"""Odd, so that it maps packet counts to distinct 64-bit values and the trace ids of a
flow differ."""


class EntryCore(core.Core):
    """Forwards packets of callers to agents, and answers back to the callers.

    Packets go to the primary of their bucket. No state per flow is required, so
    any entry can forward any packet.

    Parameters
    ----------
    link : NodeLink
        Identity, table and serving right of the node.
    own_address : Address
        Address at which agents reach this entry.
    trace_every : int
        Every `trace_every`-th packet is traced; 0 disables tracing.
    """

    def __init__(
        self, link: node_link.NodeLink, own_address: address.Address, trace_every: int
    ) -> None:
        self.link = link
        self._own_address = own_address
        self._trace_every = trace_every
        self._assignments = assignments.Assignments(link.table)
        self._open_ports: dict[int, int] = {}
        self._revision = 0
        self._packet_count = 0
        self._hints = owner_hints.OwnerHints(link.table)
        self.dropped: dict[reason.Reason, int] = {}

    def handle(self, now: float, event: msgspec.Struct) -> list[msgspec.Struct]:
        """Handle one event; see `core.Core.handle`."""
        if isinstance(event, caller_datagram.CallerDatagram):
            return self._forward_packet(now, event)
        if isinstance(event, frame_arrived.FrameArrived):
            return self._receive(now, event)
        if isinstance(event, tick.Tick):
            return [*self.link.tick(now), *self._apply_table(now)]
        if isinstance(event, leave_requested.LeaveRequested):
            return [*self.link.leave(now)]
        raise TypeError(type(event))

    def skip_packets(self, packets: int) -> None:
        """Count packets omitted from a decision log, to sample as the entry did."""
        self._packet_count += packets

    @property
    def change_marker(self) -> tuple[object, ...]:
        """Value that differs after a packet or a tick that changed the state."""
        return self.link.change_marker, self._hints.change_count

    def _forward_packet(
        self, now: float, event: caller_datagram.CallerDatagram
    ) -> list[msgspec.Struct]:
        """Forward a caller's packet to its known owner or the primary of its bucket."""
        if not self.link.right.may_forward(now, self.link.table):
            return self._drop(reason.Reason.NO_LEASE)
        caller = event.caller
        flow_hash = flow_key.flow_hash(event.class_id, caller)
        bucket = flow_hash % class_assignment.BUCKETS_PER_CLASS
        candidates = self._assignments.lookup(event.class_id, bucket)
        if candidates is None:
            return self._drop(reason.Reason.NO_MEMBER)
        target = self._hints.find((event.class_id, caller)) or candidates.primary
        trace_id = self._sample_trace_id(flow_hash)
        body = packet.encode(
            packet.Packet(
                class_id=event.class_id,
                bucket=bucket,
                hops=0,
                mode=mode.Mode.FIND,
                lease_ms=self.link.right.lease_ms(now),
                revision=self.link.table.revision,
                trace_id=trace_id,
                caller=caller,
                entry=self._own_address,
                datagram=event.datagram,
            )
        )
        destination = address.from_socket((target.host, target.port))
        actions: list[msgspec.Struct] = [
            send_frame.SendFrame(
                destination, target.incarnation, kind.Kind.FORWARD, body
            )
        ]
        if trace_id:
            attributes = {
                "bucket": str(bucket),
                "primary": candidates.primary.name,
                "target": target.name,
                "revision": str(self.link.table.revision),
            }
            actions.append(
                record_span.RecordSpan(trace_id, "entry.forward", now, now, attributes)
            )
        return actions

    def _sample_trace_id(self, flow_hash: int) -> int:
        """Return a trace id if the packet is to be traced, else 0."""
        self._packet_count += 1
        if not self._trace_every or self._packet_count % self._trace_every:
            return 0
        # All entries count packets from 1. Without the node id, two packets of a flow
        # through different entries could share a trace id.
        mixed = flow_hash ^ self.link.node_id ^ self._packet_count * _HASH_MULTIPLIER
        return mixed % 2**64 | 1

    def _receive(
        self, now: float, event: frame_arrived.FrameArrived
    ) -> list[msgspec.Struct]:
        if event.frame.kind == kind.Kind.RETURN:
            return self._forward_answer(now, event)
        if event.frame.kind != kind.Kind.MESSAGE:
            return self._drop(reason.Reason.UNKNOWN_KIND)
        message = message_codec.decode(event.frame.body)
        if isinstance(message, failure.Failure):
            return self._drop(message.reason)
        sends = self.link.receive(now, event.source, event.frame.incarnation, message)
        return [*sends, *self._apply_table(now)]

    def _forward_answer(
        self, now: float, event: frame_arrived.FrameArrived
    ) -> list[msgspec.Struct]:
        """Forward an answer to its caller."""
        received = packet.decode(event.frame.body)
        if isinstance(received, failure.Failure):
            return self._drop(received.reason)
        if received.class_id not in self._open_ports:
            return self._drop(reason.Reason.WRONG_CLASS)
        if received.bucket >= class_assignment.BUCKETS_PER_CLASS:
            return self._drop(reason.Reason.MALFORMED)
        candidates = self._assignments.lookup(received.class_id, received.bucket)
        if candidates is not None:
            flow = (received.class_id, received.caller)
            self._hints.learn(flow, event.frame.sender, candidates.primary.node_id)
        actions: list[msgspec.Struct] = [
            send_caller.SendCaller(
                received.class_id, received.caller, received.datagram
            ),
            *self.link.handle_peer_state(
                now,
                event.source,
                event.frame.incarnation,
                received.lease_ms,
                received.revision,
            ),
        ]
        if received.trace_id:
            actions.append(
                record_span.RecordSpan(received.trace_id, "entry.return", now, now, {})
            )
        return actions

    def _apply_table(self, now: float) -> list[msgspec.Struct]:
        """Open and close classes after the table has changed.

        An entry that has just started opens no class until it may forward. Until
        then the fabric sends packets to other entries, because this one would drop
        them.
        """
        if self.link.table.revision == self._revision:
            return []
        if not self._open_ports and not self.link.right.may_forward(
            now, self.link.table
        ):
            return []
        self._revision = self.link.table.revision
        ports = {c.class_id: c.port for c in self.link.table.classes()}
        actions: list[msgspec.Struct] = [
            close_class.CloseClass(class_id)
            for class_id in self._open_ports
            if class_id not in ports
        ]
        actions += [
            open_class.OpenClass(class_id, port)
            for class_id, port in ports.items()
            if class_id not in self._open_ports
        ]
        self._open_ports = ports
        return actions

    def _drop(self, drop_reason: reason.Reason) -> list[msgspec.Struct]:
        self.dropped[drop_reason] = self.dropped.get(drop_reason, 0) + 1
        return []
