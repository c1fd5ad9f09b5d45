"""Sockets of a control instance."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

import msgspec
import pynng

from limpetreel.catalog import catalog, member_state, result, status
from limpetreel.catalog.commands import (
    bootstrap,
    command_codec,
    member_changed,
    member_joined,
    member_removed,
)
from limpetreel.core import failure, reason
from limpetreel.messages import delta, delta_request, lease, renew
from limpetreel.runtime import udp_socket
from limpetreel.serving import serving_right
from limpetreel.telemetry import telemetry
from limpetreel.wire import frame, kind, message_codec

if TYPE_CHECKING:
    from limpetreel.control import operator_codec
    from limpetreel.settings import control_settings
    from limpetreel.wire import frame_codec

TICK_SECONDS = 0.1
LOST_SECONDS = 5.0
RECORDS_PER_PART = 8


class ControlShell:
    """Answers nodes and operators from a catalog.

    Parameters
    ----------
    cfg : ControlSettings
        Settings.
    codec : FrameCodec
        Codec of this instance's frames.
    operators : OperatorCodec
        Authorisation of operators.
    watch : Telemetry or None
        Takes what there is to report; None for nothing.
    """

    def __init__(
        self,
        cfg: control_settings.ControlSettings,
        codec: frame_codec.FrameCodec,
        operators: operator_codec.OperatorCodec,
        watch: telemetry.Telemetry | None = None,
    ) -> None:
        self._cfg = cfg
        self._codec = codec
        self._operators = operators
        self._watch = watch or telemetry.disabled()
        self._catalog = catalog.Catalog()
        self._index = 0
        self._heard: dict[str, float] = {}

    async def serve(self, stopped: asyncio.Event) -> None:
        """Answer until stopped."""
        await self._watch.start()
        ports = self._cfg.class_ports
        self._propose(bootstrap.Bootstrap(ports.first, ports.last))
        self._nodes = udp_socket.UdpSocket(self._frame, *self._cfg.listen)
        host, port = self._cfg.operator_listen
        with pynng.Rep0(listen=f"tcp://{host}:{port}") as sock:
            answering = asyncio.create_task(self._answer_operators(sock))
            while not stopped.is_set():
                self._mark_lost()
                await asyncio.sleep(TICK_SECONDS)
            answering.cancel()
        self._nodes.close()
        await self._watch.close()

    async def _answer_operators(self, sock: pynng.Rep0) -> None:
        while True:
            try:
                data = await sock.arecv()
            except pynng.Closed:
                return
            body = self._operators.open(data)
            if isinstance(body, failure.Failure):
                self._watch.refuse(body.step, "", body.reason)
                answer = msgspec.json.encode({"status": "denied"})
            else:
                answer = self._operator(body)
            try:
                await sock.asend(self._operators.seal(answer))
            except pynng.NNGException as exc:
                # The operator has gone; the next one must still be answered.
                self._watch.refuse("operator.answer", "", type(exc).__name__)

    def _operator(self, body: bytes) -> bytes:
        try:
            request = msgspec.json.decode(body, type=dict)
            return self._answer_request(request, body)
        except (msgspec.DecodeError, RecursionError) as exc:
            self._watch.refuse("operator.request", "", reason.Reason.MALFORMED)
            answer = result.Result(status.Status.REJECTED, detail=str(exc))
            return msgspec.json.encode(answer)

    def _answer_request(self, request: dict[str, Any], body: bytes) -> bytes:
        if request.get("type") == "table":
            table = self._catalog.table
            records = [
                {"type": r.key.partition("/")[0], **msgspec.structs.asdict(r)}
                for r in table.records.values()
                if not r.removed
            ]
            return msgspec.json.encode({"revision": table.revision, "records": records})
        command = command_codec.read_request(body)
        if isinstance(command, result.Result):
            return msgspec.json.encode(command)
        return msgspec.json.encode(self._propose(command))

    def _propose(self, command: command_codec.Command) -> result.Result:
        self._index += 1
        return self._catalog.apply(self._index, command_codec.encode(command))

    def _frame(self, data: bytes, source: tuple[str, int]) -> None:
        found = self._codec.decode(data)
        if isinstance(found, failure.Failure):
            self._watch.refuse(found.step, source, found.reason)
            return
        if found.kind != kind.Kind.MESSAGE:
            self._watch.refuse("control.frame", source, reason.Reason.UNKNOWN_KIND)
            return
        message = message_codec.decode(found.body)
        if isinstance(message, failure.Failure):
            self._watch.refuse(message.step, source, message.reason)
            return
        if isinstance(message, renew.Renew):
            self._renew(found, message, source)
        elif isinstance(message, delta_request.DeltaRequest):
            self._delta(found, message, source)

    def _renew(
        self, received: frame.Frame, message: renew.Renew, source: tuple[str, int]
    ) -> None:
        self._heard[message.name] = time.monotonic()
        table = self._catalog.table
        known = table.member(message.name)
        if known is None or known.incarnation < message.incarnation:
            self._propose(
                member_joined.MemberJoined(
                    message.name,
                    message.role,
                    message.class_name,
                    message.zone,
                    message.region,
                    message.host,
                    message.port,
                    message.incarnation,
                    8,
                )
            )
        elif message.leaving:
            self._propose(
                member_removed.MemberRemoved(message.name, message.incarnation)
            )
        else:
            state = member_state.MemberState.ACTIVE
            if message.draining:
                state = member_state.MemberState.DRAINING
            if known.state is not state:
                self._propose(
                    member_changed.MemberChanged(
                        message.name, message.incarnation, state
                    )
                )
        lease_ms = int(serving_right.LEASE_SECONDS * 1000)
        answer = lease.Lease(
            message.nonce, lease_ms, table.revision, table.digest, message.incarnation
        )
        self._send(received, answer, source)

    def _delta(
        self,
        received: frame.Frame,
        message: delta_request.DeltaRequest,
        source: tuple[str, int],
    ) -> None:
        table = self._catalog.table
        records = table.changed_after(message.revision)
        size = RECORDS_PER_PART
        parts = [records[i : i + size] for i in range(0, len(records), size)] or [[]]
        for number, part in enumerate(parts):
            answer = delta.Delta(
                message.revision,
                table.revision,
                table.digest,
                number,
                len(parts),
                tuple(part),
            )
            self._send(received, answer, source)

    def _send(
        self,
        received: frame.Frame,
        message: message_codec.Message,
        source: tuple[str, int],
    ) -> None:
        body = message_codec.encode(message)
        data = self._codec.encode(kind.Kind.MESSAGE, received.incarnation, body)
        self._nodes.send(data, source)

    def _mark_lost(self) -> None:
        limit = time.monotonic() - LOST_SECONDS
        for member in self._catalog.table.members():
            silent = self._heard.get(member.name, limit) < limit
            if silent and member.state is not member_state.MemberState.LOST:
                self._propose(
                    member_changed.MemberChanged(
                        member.name, member.incarnation, member_state.MemberState.LOST
                    )
                )
