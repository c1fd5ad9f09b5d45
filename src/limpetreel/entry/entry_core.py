"""Decisions of an entry."""

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

_ODD_CONSTANT = 0x9E3779B97F4A7C15
"""Spreads the packet number over 64 bits, so that traces of a flow differ."""


class EntryCore(core.Core):
    """Forwards packets of callers to the primaries of their buckets and answers back.

    It needs nothing per flow, so that any entry can carry any packet.

    Parameters
    ----------
    link : NodeLink
        Table and serving right of the node.
    own_address : Address
        Address on which agents reach this entry.
    trace_every : int
        One of so many packets is traced; 0 for none.
    """

    def __init__(
        self, link: node_link.NodeLink, own_address: address.Address, trace_every: int
    ) -> None:
        self.link = link
        self._own_address = own_address
        self._trace_every = trace_every
        self._assignments = assignments.Assignments(link.table)
        self._open: dict[int, int] = {}
        self._revision = 0
        self._count = 0
        self._hints = owner_hints.OwnerHints(link.table)
        self.dropped: dict[reason.Reason, int] = {}

    def handle(self, now: float, event: msgspec.Struct) -> list[msgspec.Struct]:
        """Take one event; see `core.Core.handle`."""
        if isinstance(event, caller_datagram.CallerDatagram):
            return self._forward(now, event)
        if isinstance(event, frame_arrived.FrameArrived):
            return self._receive(now, event)
        if isinstance(event, tick.Tick):
            return [*self.link.tick(now), *self._table_actions(now)]
        if isinstance(event, leave_requested.LeaveRequested):
            return [*self.link.leave(now)]
        raise TypeError(type(event))

    def skip(self, packets: int) -> None:
        """Count packets that a decision log left out, so that samples agree."""
        self._count += packets

    @property
    def mark(self) -> tuple[object, ...]:
        """Value that changes whenever a packet or a tick changes the state."""
        return self.link.mark, self._hints.changes

    def _forward(
        self, now: float, event: caller_datagram.CallerDatagram
    ) -> list[msgspec.Struct]:
        """Send a caller's packet to the primary of its bucket."""
        if not self.link.right.may_forward(now, self.link.table):
            return self._drop(reason.Reason.NO_LEASE)
        caller = event.caller
        flow_hash = flow_key.flow_hash(event.class_id, caller)
        bucket = flow_hash % class_assignment.BUCKETS_PER_CLASS
        found = self._assignments.lookup(event.class_id, bucket)
        if found is None:
            return self._drop(reason.Reason.NO_MEMBER)
        target = self._hints.find((event.class_id, caller)) or found.primary
        trace_id = self._sample(flow_hash)
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
                "primary": found.primary.name,
                "target": target.name,
                "revision": str(self.link.table.revision),
            }
            actions.append(
                record_span.RecordSpan(trace_id, "entry.forward", now, now, attributes)
            )
        return actions

    def _sample(self, flow_hash: int) -> int:
        """Return a trace id for every so many packets, else 0."""
        self._count += 1
        if not self._trace_every or self._count % self._trace_every:
            return 0
        # Entries count alike, so that two packets of a flow would share a trace.
        mixed = flow_hash ^ self.link.node_id ^ self._count * _ODD_CONSTANT
        return mixed % 2**64 | 1

    def _receive(
        self, now: float, event: frame_arrived.FrameArrived
    ) -> list[msgspec.Struct]:
        if event.frame.kind == kind.Kind.RETURN:
            return self._return(now, event)
        if event.frame.kind != kind.Kind.MESSAGE:
            return self._drop(reason.Reason.UNKNOWN_KIND)
        message = message_codec.decode(event.frame.body)
        if isinstance(message, failure.Failure):
            return self._drop(message.reason)
        sends = self.link.receive(now, event.source, event.frame.incarnation, message)
        return [*sends, *self._table_actions(now)]

    def _return(
        self, now: float, event: frame_arrived.FrameArrived
    ) -> list[msgspec.Struct]:
        """Send an answer to its caller."""
        found = packet.decode(event.frame.body)
        if isinstance(found, failure.Failure):
            return self._drop(found.reason)
        if found.class_id not in self._open:
            return self._drop(reason.Reason.WRONG_CLASS)
        if found.bucket >= class_assignment.BUCKETS_PER_CLASS:
            return self._drop(reason.Reason.MALFORMED)
        candidates = self._assignments.lookup(found.class_id, found.bucket)
        if candidates is not None:
            flow = (found.class_id, found.caller)
            self._hints.learn(flow, event.frame.sender, candidates.primary.node_id)
        actions: list[msgspec.Struct] = [
            send_caller.SendCaller(found.class_id, found.caller, found.datagram),
            *self.link.hear_peer(
                now,
                event.source,
                event.frame.incarnation,
                found.lease_ms,
                found.revision,
            ),
        ]
        if found.trace_id:
            actions.append(
                record_span.RecordSpan(found.trace_id, "entry.return", now, now, {})
            )
        return actions

    def _table_actions(self, now: float) -> list[msgspec.Struct]:
        """Open and close classes after a change of the table.

        An entry that has started opens nothing until it may forward. The fabric then
        uses other entries for packets that this one would drop.
        """
        if self.link.table.revision == self._revision:
            return []
        if not self._open and not self.link.right.may_forward(now, self.link.table):
            return []
        self._revision = self.link.table.revision
        wanted = {c.class_id: c.port for c in self.link.table.classes()}
        actions: list[msgspec.Struct] = [
            close_class.CloseClass(class_id)
            for class_id in self._open
            if class_id not in wanted
        ]
        actions += [
            open_class.OpenClass(class_id, port)
            for class_id, port in wanted.items()
            if class_id not in self._open
        ]
        self._open = wanted
        return actions

    def _drop(self, why: reason.Reason) -> list[msgspec.Struct]:
        self.dropped[why] = self.dropped.get(why, 0) + 1
        return []
