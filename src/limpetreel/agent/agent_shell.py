"""Sockets and timers of an agent."""

from __future__ import annotations

import asyncio
import functools
import time
from typing import TYPE_CHECKING

from limpetreel.agent import announcement
from limpetreel.agent.actions import close_flow, send_upstream
from limpetreel.agent.events import (
    drain_requested,
    upstream_datagram,
)
from limpetreel.core import failure, reason
from limpetreel.node import (
    drained,
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

    from limpetreel.agent import agent_core
    from limpetreel.settings import agent_settings
    from limpetreel.wire import frame_codec

TICK_SECONDS = 0.02


class AgentShell:
    """Passes received datagrams to the core and executes its actions.

    Parameters
    ----------
    cfg : AgentSettings
        Settings.
    core : AgentCore
        Decision logic of the agent.
    codec : FrameCodec
        Codec of this node's frames.
    process_telemetry : Telemetry or None
        Telemetry of the process; None disables it.
    """

    def __init__(
        self,
        cfg: agent_settings.AgentSettings,
        core: agent_core.AgentCore,
        codec: frame_codec.FrameCodec,
        process_telemetry: telemetry.Telemetry | None = None,
    ) -> None:
        self._cfg = cfg
        self._core = core
        self._codec = codec
        self._telemetry = process_telemetry or telemetry.disabled()
        self._flows: dict[address.Address, udp_socket.UdpSocket] = {}
        self._is_drained = False

    async def serve(self, stopped: asyncio.Event) -> None:
        """Serve flows until `stopped` is set, then drain."""
        await self._telemetry.start()
        self._frames = udp_socket.UdpSocket(self._on_frame, *self._cfg.listen)
        self._telemetry.add_metric(
            "send_errors_total", "sends", "socket", self._send_errors
        )
        announce = udp_socket.UdpSocket(self._on_announcement, *self._cfg.announce)
        while not stopped.is_set():
            self._handle(tick.Tick())
            await asyncio.sleep(TICK_SECONDS)
        await self._drain()
        for sock in (self._frames, announce, *self._flows.values()):
            sock.close()
        await self._telemetry.close()

    async def _drain(self) -> None:
        """Wait until the core is drained or the time limit has passed, then leave."""
        self._telemetry.log("info", "agent.drain", limit_s=self._cfg.drain_seconds)
        self._handle(drain_requested.DrainRequested())
        deadline = time.monotonic() + self._cfg.drain_seconds
        while not self._is_drained and time.monotonic() < deadline:
            await asyncio.sleep(TICK_SECONDS)
            self._handle(tick.Tick())
        self._telemetry.log("info", "agent.leave", drained=self._is_drained)
        self._handle(leave_requested.LeaveRequested())

    def _send_errors(self) -> dict[str, float]:
        upstream = sum(sock.send_errors for sock in self._flows.values())
        return {"frames": self._frames.send_errors, "upstream": upstream}

    def _on_frame(self, data: bytes, source: tuple[str, int]) -> None:
        frame = self._codec.decode(data)
        if isinstance(frame, failure.Failure):
            self._telemetry.refuse(frame.step, source, frame.reason)
            return
        self._handle(frame_arrived.FrameArrived(address.from_socket(source), frame))

    def _on_announcement(self, data: bytes, source: tuple[str, int]) -> None:
        host = self._cfg.upstream[0]
        event = announcement.read(data, self._cfg.class_name)
        if source[0] != host:
            event = failure.Failure(reason.Reason.DENIED, announcement.STEP)
        if isinstance(event, failure.Failure):
            self._telemetry.refuse(event.step, source, event.reason)
            return
        self._handle(event)

    def _on_upstream_datagram(
        self, caller: address.Address, data: bytes, source: tuple[str, int]
    ) -> None:
        if len(data) > packet.MAX_DATAGRAM_BYTES:
            self._telemetry.refuse("agent.upstream", source, reason.Reason.OVERSIZED)
            return
        self._handle(upstream_datagram.UpstreamDatagram(caller, data))

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
        elif isinstance(action, send_upstream.SendUpstream):
            self._send_upstream(action)
        elif isinstance(action, close_flow.CloseFlow):
            sock = self._flows.pop(action.caller, None)
            if sock is not None:
                sock.close()
        elif isinstance(action, record_span.RecordSpan):
            self._telemetry.export_span(action)
        elif isinstance(action, drained.Drained):
            self._is_drained = True

    def _send_upstream(self, action: send_upstream.SendUpstream) -> None:
        """Send on the socket of the flow; drop the datagram if none can be opened."""
        try:
            sock = self._flow(action.caller)
        except OSError as exc:
            self._telemetry.refuse("agent.flow", action.caller, type(exc).__name__)
            return
        sock.send(action.datagram)

    def _flow(self, caller: address.Address) -> udp_socket.UdpSocket:
        """Return the upstream socket of a flow, opening it if necessary."""
        sock = self._flows.get(caller)
        if sock is None:
            handler = functools.partial(self._on_upstream_datagram, caller)
            host = self._cfg.upstream[0]
            sock = udp_socket.UdpSocket(handler, host, connect=self._cfg.upstream)
            self._flows[caller] = sock
        return sock
