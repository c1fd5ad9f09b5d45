"""Decisions of an entry."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import xxhash

from limpetreel.assignment import assignments, class_assignment
from limpetreel.core import core, failure, reason
from limpetreel.entry.actions import close_class, open_class, send_caller
from limpetreel.entry.events import caller_datagram
from limpetreel.node import (
    frame_arrived,
    leave_requested,
    record_span,
    send_frame,
    table_link,
    tick,
)
from limpetreel.wire import address, frame, kind, message_codec, mode, packet

if TYPE_CHECKING:
    import msgspec

_FLOW = struct.Struct("!IIH")


class EntryCore(core.Core):
    """Forwards packets of callers to the primaries of their buckets and answers back.

    It keeps nothing per flow, so that any entry can carry any packet.

    Parameters
    ----------
    link : TableLink
        Table and serving right of the node.
    own_address : Address
        Address on which agents reach this entry.
    trace_every : int
        One of so many packets is traced; 0 for none.
    """

    def __init__(
        self, link: table_link.TableLink, own_address: address.Address, trace_every: int
    ) -> None:
        self.link = link
        self._own_address = own_address
        self._trace_every = trace_every
        self._assignments = assignments.Assignments(link.table)
        self._open: dict[int, int] = {}
        self._revision = 0
        self._count = 0
        self._targets: dict[int, address.Address] = {}
        self.dropped: dict[reason.Reason, int] = {}

    def handle(self, now: float, event: msgspec.Struct) -> list[msgspec.Struct]:
        """Take one event; see `core.Core.handle`."""
        if isinstance(event, caller_datagram.CallerDatagram):
            return self._forward(now, event)
        if isinstance(event, frame_arrived.FrameArrived):
            return self._receive(now, event)
        if isinstance(event, tick.Tick):
            return [*self.link.tick(now), *self._table_actions()]
        if isinstance(event, leave_requested.LeaveRequested):
            return [*self.link.leave(now)]
        raise TypeError(type(event))

    def skip(self, packets: int) -> None:
        """Count packets that a decision log left out, so that samples agree."""
        self._count += packets

    def _forward(
        self, now: float, event: caller_datagram.CallerDatagram
    ) -> list[msgspec.Struct]:
        """Send a caller's packet to the primary of its bucket."""
        if not self.link.right.may_serve(now, self.link.table):
            return self._drop(reason.Reason.NO_LEASE)
        caller = event.caller
        flow = _FLOW.pack(event.class_id, caller.ip, caller.port)
        bucket = xxhash.xxh64_intdigest(flow) % class_assignment.BUCKETS_PER_CLASS
        found = self._assignments.lookup(event.class_id, bucket)
        if found is None:
            return self._drop(reason.Reason.NO_MEMBER)
        primary = found.primary
        trace_id = self._sample(flow)
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
        destination = address.from_socket((primary.host, primary.port))
        actions: list[msgspec.Struct] = [
            send_frame.SendFrame(
                destination, primary.incarnation, kind.Kind.FORWARD, body
            )
        ]
        if trace_id:
            attributes = {
                "bucket": str(bucket),
                "primary": primary.name,
                "revision": str(self.link.table.revision),
            }
            actions.append(
                record_span.RecordSpan(trace_id, "entry.forward", now, now, attributes)
            )
        return actions

    def _sample(self, flow: bytes) -> int:
        """Return a trace id for every so many packets, else 0."""
        self._count += 1
        if not self._trace_every or self._count % self._trace_every:
            return 0
        return xxhash.xxh64_intdigest(flow, seed=self._count) | 1

    def _receive(
        self, now: float, event: frame_arrived.FrameArrived
    ) -> list[msgspec.Struct]:
        if event.frame.kind == kind.Kind.RETURN:
            return self._return(now, event.frame)
        if event.frame.kind != kind.Kind.MESSAGE:
            return self._drop(reason.Reason.UNKNOWN_KIND)
        message = message_codec.decode(event.frame.body)
        if isinstance(message, failure.Failure):
            return self._drop(message.reason)
        sends = self.link.receive(now, event.source, message)
        return [*sends, *self._table_actions()]

    def _return(self, now: float, received: frame.Frame) -> list[msgspec.Struct]:
        """Send an answer to its caller."""
        found = packet.decode(received.body)
        if isinstance(found, failure.Failure):
            return self._drop(found.reason)
        if found.class_id not in self._open:
            return self._drop(reason.Reason.WRONG_CLASS)
        actions: list[msgspec.Struct] = [
            send_caller.SendCaller(found.class_id, found.caller, found.datagram)
        ]
        if found.trace_id:
            actions.append(
                record_span.RecordSpan(found.trace_id, "entry.return", now, now, {})
            )
        return actions

    def _table_actions(self) -> list[msgspec.Struct]:
        """Open and close classes after a change of the table."""
        if self.link.table.revision == self._revision:
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
