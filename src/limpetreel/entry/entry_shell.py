"""Sockets of an entry."""

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
"""Time for which a planned stop goes on forwarding, until the fabric has noticed."""


class EntryShell:
    """Turns datagrams into events of the core and carries out its actions.

    Parameters
    ----------
    cfg : EntrySettings
        Settings.
    decisions : EntryCore
        The core.
    codec : FrameCodec
        Codec of this node's frames.
    watch : Telemetry or None
        Takes what there is to report; None for nothing.
    """

    def __init__(
        self,
        cfg: entry_settings.EntrySettings,
        decisions: entry_core.EntryCore,
        codec: frame_codec.FrameCodec,
        watch: telemetry.Telemetry | None = None,
    ) -> None:
        self._cfg = cfg
        self._core = decisions
        self._codec = codec
        self._watch = watch or telemetry.disabled()
        self._classes: dict[int, udp_socket.UdpSocket] = {}

    async def serve(self, stopped: asyncio.Event) -> None:
        """Forward packets until stopped."""
        await self._watch.start()
        self._frames = udp_socket.UdpSocket(self._frame, *self._cfg.listen)
        self._watch.add_metric(
            "send_errors_total", "sends", "socket", self._send_errors
        )
        while not stopped.is_set():
            await self._tick()
        # Agents send answers through other entries from now on.
        self._handle(leave_requested.LeaveRequested())
        end = time.monotonic() + LEAVING_SECONDS
        while time.monotonic() < end:
            await self._tick()
        for sock in (self._frames, *self._classes.values()):
            sock.close()
        await self._watch.close()

    def _send_errors(self) -> dict[str, float]:
        callers = sum(sock.send_errors for sock in self._classes.values())
        return {"frames": self._frames.send_errors, "callers": callers}

    async def _tick(self) -> None:
        self._handle(tick.Tick())
        await asyncio.sleep(TICK_SECONDS)

    def _frame(self, data: bytes, source: tuple[str, int]) -> None:
        found = self._codec.decode(data)
        if isinstance(found, failure.Failure):
            self._watch.refuse(found.step, source, found.reason)
            return
        self._handle(frame_arrived.FrameArrived(address.from_socket(source), found))

    def _caller(self, class_id: int, data: bytes, source: tuple[str, int]) -> None:
        if len(data) > packet.MAX_DATAGRAM_BYTES:
            self._watch.refuse("entry.caller", source, reason.Reason.OVERSIZED)
            return
        caller = address.from_socket(source)
        self._handle(caller_datagram.CallerDatagram(class_id, caller, data))

    def _handle(self, event: msgspec.Struct) -> None:
        now = time.monotonic()
        actions = self._core.handle(now, event)
        self._watch.record_decision(now, event, actions)
        for action in actions:
            self._do(action)

    def _do(self, action: msgspec.Struct) -> None:
        if isinstance(action, send_frame.SendFrame):
            data = self._codec.encode(action.kind, action.target, action.body)
            self._frames.send(data, address.to_socket(action.destination))
        elif isinstance(action, send_caller.SendCaller):
            sock = self._classes.get(action.class_id)
            if sock is not None:
                sock.send(action.datagram, address.to_socket(action.caller))
        elif isinstance(action, open_class.OpenClass):
            self._open(action)
        elif isinstance(action, close_class.CloseClass):
            sock = self._classes.pop(action.class_id, None)
            if sock is not None:
                sock.close()
            self._watch.log("info", "class.close", class_id=action.class_id)
        elif isinstance(action, record_span.RecordSpan):
            self._watch.export_span(action)

    def _open(self, action: open_class.OpenClass) -> None:
        """Receive on the port of a class; one that cannot be bound is left out."""
        handler = functools.partial(self._caller, action.class_id)
        try:
            sock = udp_socket.UdpSocket(handler, self._cfg.service_ip, action.port)
        except OSError as exc:
            step, port = "class.open", action.port
            self._watch.log("error", step, reason=str(exc), port=port)
            return
        self._classes[action.class_id] = sock
        self._watch.log(
            "info", "class.open", class_id=action.class_id, port=action.port
        )
