"""Shell of an agent."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from limpetreel.cluster import upstream_record
from limpetreel.runtime import udp_socket
from limpetreel.streams import stream_shell
from limpetreel.streams.events import (
    agent_leaving,
    node_datagram,
    upstream_announced,
    upstream_departed,
    upstream_ended,
    upstream_packet,
)

if TYPE_CHECKING:
    from limpetreel.streams import stream_agent_core, upstream_api, upstream_status
    from limpetreel.telemetry import telemetry

CONNECT_SECONDS = 0.3
"""Time limit for a connection to the upstream on the same machine."""
CHECK_SECONDS = 0.5
"""Interval of connections to an upstream that does not announce itself."""
STOP_RESERVE_SECONDS = 1.0
"""Part of the grace time that is reserved for closing the process."""


class StreamAgentShell(stream_shell.StreamShell):
    """Runs the agent beside an upstream.

    Parameters
    ----------
    name, data_centre, service : str
        Name of the node, its data centre and the service of the upstream.
    listen : tuple of (str, int)
        Address to which entries send packets; callers use the same port.
    outbound : tuple of (str, int)
        Address to which the upstream sends its packets.
    upstream : tuple of (str, int)
        Address at which the upstream receives packets.
    grace_seconds : float
        Time from a planned stop to the end of the process.
    core : StreamAgentCore
        Decision logic.
    api : UpstreamApi
        Receives the announcements of the upstream.
    telemetry : Telemetry
        Logs and metrics.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        service: str,
        listen: tuple[str, int],
        outbound: tuple[str, int],
        upstream: tuple[str, int],
        grace_seconds: float,
        core: stream_agent_core.StreamAgentCore,
        api: upstream_api.UpstreamApi,
        telemetry: telemetry.Telemetry,
    ) -> None:
        super().__init__(core, telemetry)
        self._name = name
        self._data_centre = data_centre
        self._service = service
        self._listen = listen
        self._outbound = outbound
        self._upstream = upstream
        self._grace_seconds = grace_seconds
        self._core = core
        self._api = api
        self._is_leaving = False
        self._check: asyncio.Task[None] | None = None
        self._checked_at = float("-inf")

    @property
    def is_ready(self) -> bool:
        """Return whether the upstream accepts new flows."""
        return not self._is_leaving and self._core.is_accepting(time.monotonic())

    async def serve(self, stopped: asyncio.Event) -> None:
        """Serve until stopped."""
        assert self._control is not None
        await self._telemetry.start()
        self._nodes = udp_socket.UdpSocket(self._from_node, *self._listen)
        self._local = udp_socket.UdpSocket(self._from_upstream, *self._outbound)
        await self._api.start(self)
        self._schedule(stream_shell.IDLE_SECONDS)
        task = asyncio.create_task(self._control.run())
        await stopped.wait()
        self._is_leaving = True
        self._handle(agent_leaving.AgentLeaving())
        self._report()
        self._telemetry.log("info", "agent.leaving")
        await self._wait_for_flows()
        task.cancel()
        if self._check is not None:
            self._check.cancel()
        await self._api.close()
        self._nodes.close()
        self._local.close()
        await self._telemetry.close()

    def announce(self, status: upstream_status.UpstreamStatus) -> bool:
        """Handle an announcement; return whether it describes the upstream now."""
        self._handle(upstream_announced.UpstreamAnnounced(status))
        self._report()
        return self._core.upstream.is_in_force(status)

    def depart(self, instance_id: str) -> bool:
        """Handle a sign-off; return whether its sender gets no new flow now."""
        self._handle(upstream_departed.UpstreamDeparted(instance_id))
        self._report()
        return self._core.upstream.is_unused(instance_id)

    def _is_needed(self) -> bool:
        return self._core.has_work or self._core.awaits_end

    async def _wait_for_flows(self) -> None:
        until = time.monotonic() + self._grace_seconds - STOP_RESERVE_SECONDS
        while self._is_needed() and time.monotonic() < until:
            await asyncio.sleep(stream_shell.SOON_SECONDS)

    def _after_tick(self) -> None:
        self._report()
        now = time.monotonic()
        if not self._core.upstream.is_overdue(now):
            return
        if now - self._checked_at >= CHECK_SECONDS:
            self._checked_at = now
            self._check = asyncio.create_task(self._check_upstream())

    async def _check_upstream(self) -> None:
        """Connect to a silent upstream; a refusal shows that its process has ended."""
        status = self._core.upstream.status
        assert status is not None
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                _, writer = await asyncio.open_connection(*self._upstream)
        except ConnectionRefusedError:
            self._handle(upstream_ended.UpstreamEnded(status.instance_id))
            self._report()
        except (OSError, TimeoutError) as exc:
            detail = type(exc).__name__
            self._telemetry.refuse("upstream.check", status.instance_id, detail)
        else:
            writer.close()

    def _report(self) -> None:
        if self._control is None or self._core.upstream.status is None:
            return
        record = upstream_record.UpstreamRecord(
            self._name,
            *self._listen,
            self._data_centre,
            self._service,
            not self._is_leaving and self._core.upstream.is_accepting(time.monotonic()),
            self._core.slots,
            has_ended=self._is_leaving and self._core.upstream.has_ended,
        )
        self._control.report(record)

    def _from_node(self, data: bytes, source: tuple[str, int]) -> None:
        self._handle(node_datagram.NodeDatagram(*source, data))

    def _from_upstream(self, data: bytes, source: tuple[str, int]) -> None:
        self._handle(upstream_packet.UpstreamPacket(data))

    def _needs_tick_soon(self) -> bool:
        return self._core.needs_tick_soon

    def _send_node(self, data: bytes, address: tuple[str, int]) -> None:
        self._nodes.send(data, address)

    def _send_caller(self, data: bytes, host: str) -> None:
        self._nodes.send(data, (host, self._listen[1]))

    def _send_upstream(self, data: bytes) -> None:
        self._local.send(data, self._upstream)
