"""Shell of an entry."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from limpetreel.runtime import udp_socket
from limpetreel.streams import stream_shell
from limpetreel.streams.events import caller_packet, node_datagram

if TYPE_CHECKING:
    from limpetreel.streams import ready_api, stream_entry_core
    from limpetreel.telemetry import telemetry

STOP_SECONDS = 1.5
"""Time for the fabric to notice that the entry is not ready: two probes at 2 per
second, and 0.5 s for packets in transit. With a longer time, more entries of a data
centre are out of rotation at once during a rolling stop."""

PENDING_SECONDS = 0.5
"""Time limit for packets that wait for an agent; openings are held for up to 0.4 s."""


class StreamEntryShell(stream_shell.StreamShell):
    """Runs an entry.

    Parameters
    ----------
    listen : tuple of (str, int)
        Address to which the fabric sends packets; callers use the same port.
    node_listen : tuple of (str, int)
        Address to which agents send their answers.
    core : StreamEntryCore
        Decision logic.
    api : ReadyApi
        Reports to the fabric whether the entry is ready.
    telemetry : Telemetry
        Logs and metrics.
    """

    def __init__(
        self,
        listen: tuple[str, int],
        node_listen: tuple[str, int],
        core: stream_entry_core.StreamEntryCore,
        api: ready_api.ReadyApi,
        telemetry: telemetry.Telemetry,
    ) -> None:
        super().__init__(core, telemetry)
        self._listen = listen
        self._node_listen = node_listen
        self._core = core
        self._api = api
        self._is_leaving = False
        self._was_ready = False

    async def serve(self, stopped: asyncio.Event) -> None:
        """Serve until stopped."""
        assert self._control is not None
        await self._telemetry.start()
        self._callers = udp_socket.UdpSocket(self._from_caller, *self._listen)
        self._nodes = udp_socket.UdpSocket(self._from_node, *self._node_listen)
        await self._api.start(self.is_ready)
        self._schedule(stream_shell.IDLE_SECONDS)
        task = asyncio.create_task(self._control.run())
        await stopped.wait()
        self._is_leaving = True
        self._telemetry.log("info", "entry.leaving", open_flows=self._core.open_flows)
        await asyncio.sleep(STOP_SECONDS)
        await self._finish_pending()
        task.cancel()
        await self._api.close()
        self._callers.close()
        self._nodes.close()
        await self._telemetry.close()

    async def _finish_pending(self) -> None:
        """Forward what arrived before the stop, also on a process that runs late."""
        until = time.monotonic() + PENDING_SECONDS
        self._callers.read_remaining()
        while self._core.needs_tick_soon and time.monotonic() < until:
            await asyncio.sleep(stream_shell.SOON_SECONDS)

    def is_ready(self) -> bool:
        """Return whether the fabric should send packets."""
        ready = self._core.is_ready and not self._is_leaving
        if ready != self._was_ready:
            self._was_ready = ready
            self._telemetry.log("info", "entry.ready" if ready else "entry.not_ready")
        return ready

    def _after_tick(self) -> None:
        if self._control is not None and self._core.awaits_list:
            self._control.check_list()

    def _from_caller(self, data: bytes, source: tuple[str, int]) -> None:
        self._handle(caller_packet.CallerPacket(data))

    def _from_node(self, data: bytes, source: tuple[str, int]) -> None:
        self._handle(node_datagram.NodeDatagram(*source, data))

    def _needs_tick_soon(self) -> bool:
        return self._core.needs_tick_soon

    def _send_node(self, data: bytes, address: tuple[str, int]) -> None:
        self._nodes.send(data, address)

    def _send_caller(self, data: bytes, host: str) -> None:
        self._callers.send(data, (host, self._listen[1]))
