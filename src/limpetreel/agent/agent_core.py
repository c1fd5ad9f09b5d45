"""Decisions of an agent."""

from __future__ import annotations

import msgspec

from limpetreel.agent import (
    answer,
    caller_protocol,
    open_request,
    request,
    signal,
)
from limpetreel.agent.actions import send_upstream
from limpetreel.agent.events import (
    drain_requested,
    upstream_announced,
    upstream_datagram,
)
from limpetreel.core import core, failure, reason
from limpetreel.node import (
    drained,
    frame_arrived,
    leave_requested,
    record_span,
    send_frame,
    table_link,
    tick,
)
from limpetreel.wire import address, frame, kind, message_codec, packet

TOKEN_BYTES = 8


class AgentCore(core.Core):
    """Serves the flows of one upstream.

    Parameters
    ----------
    link : TableLink
        Table and serving right of the node.
    protocol : CallerProtocol
        Protocol of callers and the upstream.
    class_name : str
        Class that the upstream serves.
    """

    def __init__(
        self,
        link: table_link.TableLink,
        protocol: caller_protocol.CallerProtocol,
        class_name: str,
    ) -> None:
        self.link = link
        self._protocol = protocol
        self._class_name = class_name
        self._token = 0
        self._open: dict[bytes, open_request.OpenRequest] = {}
        self._entries: dict[address.Address, tuple[address.Address, int]] = {}
        self._run_id = ""
        self.dropped: dict[reason.Reason, int] = {}

    def handle(self, now: float, event: msgspec.Struct) -> list[msgspec.Struct]:
        """Take one event; see `core.Core.handle`."""
        if isinstance(event, frame_arrived.FrameArrived):
            return self._receive(now, event)
        if isinstance(event, upstream_datagram.UpstreamDatagram):
            return self._from_upstream(now, event)
        if isinstance(event, tick.Tick):
            return self._tick(now)
        if isinstance(event, upstream_announced.UpstreamAnnounced):
            self._run_id = event.run_id
            self.link.draining = self.link.draining or event.draining
            return []
        if isinstance(event, drain_requested.DrainRequested):
            self.link.draining = True
            return []
        if isinstance(event, leave_requested.LeaveRequested):
            return [*self.link.leave(now)]
        raise TypeError(type(event))

    def _tick(self, now: float) -> list[msgspec.Struct]:
        # An agent joins only once its upstream has announced itself.
        actions: list[msgspec.Struct] = []
        if self._run_id:
            actions += self.link.tick(now)
        if self.link.draining and not self._open:
            actions.append(drained.Drained())
        return actions

    def _receive(
        self, now: float, event: frame_arrived.FrameArrived
    ) -> list[msgspec.Struct]:
        if event.frame.kind in (kind.Kind.FORWARD, kind.Kind.RELAY):
            return self._packet(now, event.frame)
        message = message_codec.decode(event.frame.body)
        if isinstance(message, failure.Failure):
            return self._drop(message.reason)
        return [*self.link.receive(now, event.source, message)]

    def _packet(self, now: float, received: frame.Frame) -> list[msgspec.Struct]:
        found = packet.decode(received.body)
        if isinstance(found, failure.Failure):
            return self._drop(found.reason)
        record = self.link.table.class_by_id(found.class_id)
        if record is None or record.name != self._class_name:
            return self._drop(reason.Reason.WRONG_CLASS)
        if not self.link.right.may_serve(now, self.link.table):
            return self._drop(reason.Reason.NO_LEASE)
        read = self._protocol.read_caller(found.datagram)
        if isinstance(read, request.Request):
            self._entries[found.caller] = found.entry, received.incarnation
            return self._request(now, found, read)
        if isinstance(read, signal.Signal):
            return [send_upstream.SendUpstream(found.caller, found.datagram)]
        return self._drop(read.reason)

    def _request(
        self, now: float, found: packet.Packet, req: request.Request
    ) -> list[msgspec.Struct]:
        self._token += 1
        token = self._token.to_bytes(TOKEN_BYTES, "big")
        self._open[token] = open_request.OpenRequest(found, req, now)
        datagram = self._protocol.replace_token(found.datagram, token)
        return [send_upstream.SendUpstream(found.caller, datagram)]

    def _from_upstream(
        self, now: float, event: upstream_datagram.UpstreamDatagram
    ) -> list[msgspec.Struct]:
        read = self._protocol.read_upstream(event.datagram)
        if isinstance(read, answer.Answer):
            return self._answer(now, event, read)
        return []

    def _answer(
        self, now: float, event: upstream_datagram.UpstreamDatagram, read: answer.Answer
    ) -> list[msgspec.Struct]:
        found = self._open.get(read.token)
        if found is None or found.packet.caller != event.caller:
            return self._drop(reason.Reason.STALE)
        if read.last:
            del self._open[read.token]
        datagram = self._protocol.replace_token(event.datagram, found.request.token)
        body = packet.encode(msgspec.structs.replace(found.packet, datagram=datagram))
        entry, incarnation = self._entries[event.caller]
        actions: list[msgspec.Struct] = [
            send_frame.SendFrame(entry, incarnation, kind.Kind.RETURN, body)
        ]
        if found.packet.trace_id:
            actions.append(
                record_span.RecordSpan(
                    found.packet.trace_id, "agent.upstream", found.sent_at, now, {}
                )
            )
        return actions

    def _drop(self, why: reason.Reason) -> list[msgspec.Struct]:
        self.dropped[why] = self.dropped.get(why, 0) + 1
        return []
