"""Sockets of an entry."""

from __future__ import annotations

import asyncio
import functools
import logging
import time
from typing import TYPE_CHECKING

from limpetreel.core import failure
from limpetreel.entry.actions import close_class, open_class, send_caller
from limpetreel.entry.events import caller_datagram
from limpetreel.node import frame_arrived, record_span, send_frame, tick
from limpetreel.runtime import udp_socket
from limpetreel.wire import address

if TYPE_CHECKING:
    import msgspec

    from limpetreel.entry import entry_core
    from limpetreel.settings import entry_settings
    from limpetreel.wire import frame_codec

TICK_SECONDS = 0.02
LEAVING_SECONDS = 1.0
"""Time for which a planned stop goes on forwarding, until the fabric has noticed."""

_LOG = logging.getLogger(__name__)


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
    """

    def __init__(
        self,
        cfg: entry_settings.EntrySettings,
        decisions: entry_core.EntryCore,
        codec: frame_codec.FrameCodec,
    ) -> None:
        self._cfg = cfg
        self._core = decisions
        self._codec = codec
        self._classes: dict[int, udp_socket.UdpSocket] = {}

    async def serve(self, stopped: asyncio.Event) -> None:
        """Forward packets until stopped."""
        self._frames = udp_socket.UdpSocket(self._frame, *self._cfg.listen)
        while not stopped.is_set():
            await self._tick()
        # Agents send answers through other entries from now on.
        for action in self._core.link.leave(time.monotonic()):
            self._do(action)
        end = time.monotonic() + LEAVING_SECONDS
        while time.monotonic() < end:
            await self._tick()
        for sock in (self._frames, *self._classes.values()):
            sock.close()

    async def _tick(self) -> None:
        self._handle(tick.Tick())
        await asyncio.sleep(TICK_SECONDS)

    def _frame(self, data: bytes, source: tuple[str, int]) -> None:
        found = self._codec.decode(data)
        if isinstance(found, failure.Failure):
            return
        self._handle(frame_arrived.FrameArrived(address.from_socket(source), found))

    def _caller(self, class_id: int, data: bytes, source: tuple[str, int]) -> None:
        caller = address.from_socket(source)
        self._handle(caller_datagram.CallerDatagram(class_id, caller, data))

    def _handle(self, event: msgspec.Struct) -> None:
        for action in self._core.handle(time.monotonic(), event):
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
            handler = functools.partial(self._caller, action.class_id)
            self._classes[action.class_id] = udp_socket.UdpSocket(
                handler, self._cfg.service_ip, action.port
            )
        elif isinstance(action, close_class.CloseClass):
            self._classes.pop(action.class_id).close()
        elif isinstance(action, record_span.RecordSpan):
            _LOG.info("span %s", action)
