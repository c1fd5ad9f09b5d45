"""Sockets and timers of an entry."""

from __future__ import annotations

import asyncio
import functools
import time
from typing import TYPE_CHECKING

from limpetreel.core import failure, reason
from limpetreel.entry.actions import close_class, open_class, send_caller
from limpetreel.entry.events import caller_datagram
from limpetreel.node import (
    frame_arrived,
    leave_requested,
    record_span,
    send_frame,
    tick,
)
from limpetreel.runtime import udp_socket
from limpetreel.telemetry import telemetry
from limpetreel.wire import address, packet

if TYPE_CHECKING:
    import msgspec

    from limpetreel.entry import entry_core
    from limpetreel.settings import entry_settings
    from limpetreel.wire import frame_codec

TICK_SECONDS = 0.02
LEAVING_SECONDS = 1.0
"""How long a stopping entry still forwards, until the fabric stops using it."""


class EntryShell:
    """Passes received datagrams to the core and executes its actions.

    Parameters
    ----------
    cfg : EntrySettings
        Settings.
    core : EntryCore
        Decision logic of the entry.
    codec : FrameCodec
        Codec of this node's frames.
    process_telemetry : Telemetry or None
        Telemetry of the process; None disables it.
    """

    def __init__(
        self,
        cfg: entry_settings.EntrySettings,
        core: entry_core.EntryCore,
        codec: frame_codec.FrameCodec,
        process_telemetry: telemetry.Telemetry | None = None,
    ) -> None:
        self._cfg = cfg
        self._core = core
        self._codec = codec
        self._telemetry = process_telemetry or telemetry.disabled()
        self._classes: dict[int, udp_socket.UdpSocket] = {}

    async def serve(self, stopped: asyncio.Event) -> None:
        """Forward packets until `stopped` is set, then leave."""
        await self._telemetry.start()
        self._frames = udp_socket.UdpSocket(self._on_frame, *self._cfg.listen)
        self._telemetry.add_metric(
            "send_errors_total", "sends", "socket", self._send_errors
        )
        while not stopped.is_set():
            await self._tick()
        # From now on agents send their answers through other entries.
        self._handle(leave_requested.LeaveRequested())
        deadline = time.monotonic() + LEAVING_SECONDS
        while time.monotonic() < deadline:
            await self._tick()
        for sock in (*self._classes.values(), self._frames):
            sock.read_remaining()
        for sock in (self._frames, *self._classes.values()):
            sock.close()
        await self._telemetry.close()

    def _send_errors(self) -> dict[str, float]:
        callers = sum(sock.send_errors for sock in self._classes.values())
        return {"frames": self._frames.send_errors, "callers": callers}

    async def _tick(self) -> None:
        self._handle(tick.Tick())
        await asyncio.sleep(TICK_SECONDS)

    def _on_frame(self, data: bytes, source: tuple[str, int]) -> None:
        frame = self._codec.decode(data)
        if isinstance(frame, failure.Failure):
            self._telemetry.refuse(frame.step, source, frame.reason)
            return
        self._handle(frame_arrived.FrameArrived(address.from_socket(source), frame))

    def _on_caller_datagram(
        self, class_id: int, data: bytes, source: tuple[str, int]
    ) -> None:
        if len(data) > packet.MAX_DATAGRAM_BYTES:
            self._telemetry.refuse("entry.caller", source, reason.Reason.OVERSIZED)
            return
        caller = address.from_socket(source)
        self._handle(caller_datagram.CallerDatagram(class_id, caller, data))

    def _handle(self, event: msgspec.Struct) -> None:
        now = time.monotonic()
        try:
            actions = self._core.handle(now, event)
            self._telemetry.record_decision(now, event, actions)
            for action in actions:
                self._execute(action)
        except Exception as exc:  # the other flows must go on
            fields = {"event": type(event).__name__, "detail": repr(exc)}
            self._telemetry.log_decision("error", "node.event_failed", fields)

    def _execute(self, action: msgspec.Struct) -> None:
        if isinstance(action, send_frame.SendFrame):
            data = self._codec.encode(action.kind, action.target, action.body)
            self._frames.send(data, address.to_socket(action.destination))
        elif isinstance(action, send_caller.SendCaller):
            sock = self._classes.get(action.class_id)
            if sock is not None:
                sock.send(action.datagram, address.to_socket(action.caller))
        elif isinstance(action, open_class.OpenClass):
            self._open_class(action)
        elif isinstance(action, close_class.CloseClass):
            sock = self._classes.pop(action.class_id, None)
            if sock is not None:
                sock.close()
            self._telemetry.log("info", "class.close", class_id=action.class_id)
        elif isinstance(action, record_span.RecordSpan):
            self._telemetry.export_span(action)

    def _open_class(self, action: open_class.OpenClass) -> None:
        """Bind the port of a class; log an error and skip the class if that fails."""
        handler = functools.partial(self._on_caller_datagram, action.class_id)
        try:
            sock = udp_socket.UdpSocket(handler, self._cfg.service_ip, action.port)
        except OSError as exc:
            step, port = "class.open", action.port
            self._telemetry.log("error", step, reason=str(exc), port=port)
            return
        self._classes[action.class_id] = sock
        self._telemetry.log(
            "info", "class.open", class_id=action.class_id, port=action.port
        )
