"""Tests of the planned stop of an entry on real sockets."""

from __future__ import annotations

import asyncio
import socket
import time
from unittest import mock

from limpetreel.core import core
from limpetreel.streams import ready_api, stream_entry_shell
from limpetreel.streams.events import caller_packet
from limpetreel.telemetry import telemetry
from tests import fixtures

load_tests = fixtures.load_functions(globals())

LISTEN = ("127.0.0.1", 0)
STOP_SECONDS = 0.2
BURST = 300
PENDING_SECONDS = 0.15


class Core(core.Core):
    """Core that counts packets, and awaits an answer for some time after the last."""

    is_ready, open_flows = True, 0

    def __init__(self, pending_seconds):
        self.packets = 0
        self.pending_seconds = pending_seconds
        self.pending_until = 0.0

    @property
    def needs_tick_soon(self):
        """Return whether an answer is awaited."""
        return time.monotonic() < self.pending_until

    def handle(self, now, event):
        """Count packets of callers."""
        if isinstance(event, caller_packet.CallerPacket):
            self.packets += 1
            self.pending_until = now + self.pending_seconds
        return []


class Api(ready_api.ReadyApi):
    """Readiness that nobody asks for."""

    async def start(self, is_ready):
        """Do nothing."""

    async def close(self):
        """Do nothing."""


class Control:
    """Connection to control without news."""

    async def run(self):
        """Wait."""
        await asyncio.sleep(30)


def stall(address):
    """Stall the event loop until after the end of the stop, while packets arrive."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for _ in range(BURST):
            sock.sendto(b"packet", address)
    time.sleep(STOP_SECONDS)


async def _stop_with_a_burst(pending_seconds):
    entry = Core(pending_seconds)
    shell = stream_entry_shell.StreamEntryShell(
        LISTEN, LISTEN, entry, Api(), telemetry.disabled()
    )
    shell.attach(Control())
    stopped = asyncio.Event()
    with mock.patch.object(stream_entry_shell, "STOP_SECONDS", STOP_SECONDS):
        serving = asyncio.create_task(shell.serve(stopped))
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        loop.call_later(STOP_SECONDS / 2, stall, shell._callers.address)
        stopped.set()
        await serving
    return entry


def test_packets_that_arrived_before_the_end_of_a_stop_are_forwarded():
    """Guards against packets lost at the stop of an entry that runs late.

    One wake-up reads only a batch of them.
    """
    assert asyncio.run(_stop_with_a_burst(0.0)).packets == BURST


def test_packets_that_wait_for_an_agent_are_not_given_up_at_a_stop():
    """Guards against sockets that close before the answer of an agent arrives."""
    assert not asyncio.run(_stop_with_a_burst(PENDING_SECONDS)).needs_tick_soon
