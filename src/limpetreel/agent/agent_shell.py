"""Sockets of an agent."""

from __future__ import annotations

import asyncio
import functools
import json
import time
from typing import TYPE_CHECKING

from limpetreel.agent.actions import close_flow, send_upstream
from limpetreel.agent.events import (
    drain_requested,
    upstream_announced,
    upstream_datagram,
)
from limpetreel.core import failure
from limpetreel.node import drained, frame_arrived, send_frame, tick
from limpetreel.runtime import udp_socket
from limpetreel.wire import address

if TYPE_CHECKING:
    import msgspec

    from limpetreel.agent import agent_core
    from limpetreel.settings import agent_settings
    from limpetreel.wire import frame_codec

TICK_SECONDS = 0.02


class AgentShell:
    """Turns datagrams into events of the core and carries out its actions.

    Parameters
    ----------
    cfg : AgentSettings
        Settings.
    decisions : AgentCore
        The core.
    codec : FrameCodec
        Codec of this node's frames.
    """

    def __init__(
        self,
        cfg: agent_settings.AgentSettings,
        decisions: agent_core.AgentCore,
        codec: frame_codec.FrameCodec,
    ) -> None:
        self._cfg = cfg
        self._core = decisions
        self._codec = codec
        self._flows: dict[address.Address, udp_socket.UdpSocket] = {}
        self._is_drained = False

    async def serve(self, stopped: asyncio.Event) -> None:
        """Serve flows until stopped and drained."""
        self._frames = udp_socket.UdpSocket(self._frame, *self._cfg.listen)
        announce = udp_socket.UdpSocket(self._announced, *self._cfg.announce)
        while not stopped.is_set():
            self._handle(tick.Tick())
            await asyncio.sleep(TICK_SECONDS)
        await self._drain()
        for sock in (self._frames, announce, *self._flows.values()):
            sock.close()

    async def _drain(self) -> None:
        """Wait until the core holds no work, or the time limit passes."""
        self._handle(drain_requested.DrainRequested())
        until = time.monotonic() + self._cfg.drain_seconds
        while not self._is_drained and time.monotonic() < until:
            await asyncio.sleep(TICK_SECONDS)
            self._handle(tick.Tick())
        for action in self._core.link.leave(time.monotonic()):
            self._do(action)

    def _frame(self, data: bytes, source: tuple[str, int]) -> None:
        found = self._codec.decode(data)
        if isinstance(found, failure.Failure):
            return
        self._handle(frame_arrived.FrameArrived(address.from_socket(source), found))

    def _announced(self, data: bytes, source: tuple[str, int]) -> None:
        payload = data.partition(b"\xff")[2]
        try:
            body = json.loads(payload)
            event = upstream_announced.UpstreamAnnounced(
                class_name=str(body["class"]),
                run_id=str(body["run_id"]),
                draining=body["state"] == "draining",
            )
        except (ValueError, KeyError, TypeError):
            return
        self._handle(event)

    def _upstream(
        self, caller: address.Address, data: bytes, _: tuple[str, int]
    ) -> None:
        self._handle(upstream_datagram.UpstreamDatagram(caller, data))

    def _handle(self, event: msgspec.Struct) -> None:
        for action in self._core.handle(time.monotonic(), event):
            self._do(action)

    def _do(self, action: msgspec.Struct) -> None:
        if isinstance(action, send_frame.SendFrame):
            data = self._codec.encode(action.kind, action.target, action.body)
            self._frames.send(data, address.to_socket(action.destination))
        elif isinstance(action, send_upstream.SendUpstream):
            self._flow(action.caller).send(action.datagram)
        elif isinstance(action, close_flow.CloseFlow):
            sock = self._flows.pop(action.caller, None)
            if sock is not None:
                sock.close()
        elif isinstance(action, drained.Drained):
            self._is_drained = True

    def _flow(self, caller: address.Address) -> udp_socket.UdpSocket:
        """Return the upstream socket of a flow, opened if need be."""
        sock = self._flows.get(caller)
        if sock is None:
            handler = functools.partial(self._upstream, caller)
            host = self._cfg.upstream[0]
            sock = udp_socket.UdpSocket(handler, host, connect=self._cfg.upstream)
            self._flows[caller] = sock
        return sock
