"""Tests that one bad event does not stop an entry or agent."""

from __future__ import annotations

import asyncio

from limpetreel.core import core
from limpetreel.node import tick
from limpetreel.streams import stream_entry_core, stream_shell
from limpetreel.streams.events import node_datagram
from limpetreel.streams.messages import holdings, stream_codec
from limpetreel.telemetry import telemetry
from tests import fixtures
from tests.streams import stream_site

load_tests = fixtures.load_functions(globals())


class FailingCore(core.Core):
    """Core that fails at its first tick and at each datagram."""

    def __init__(self):
        self.ticks = 0

    def handle(self, now, event):
        """Fail as described above."""
        if isinstance(event, tick.Tick):
            self.ticks += 1
        if self.ticks <= 1:
            raise KeyError("a name that is not known")
        return []


class Shell(stream_shell.StreamShell):
    """Shell without sockets."""

    def _needs_tick_soon(self):
        return True

    def _send_node(self, data, address):
        pass

    def _send_caller(self, data, host):
        pass


class IdleShell(Shell):
    """Shell that awaits nothing, and whose work after a tick fails."""

    def _needs_tick_soon(self):
        return False

    def _after_tick(self):
        raise KeyError("a record that cannot be sent")


async def _run_past_an_error(shell_type, seconds):
    failing = FailingCore()
    shell = shell_type(failing, telemetry.disabled())
    shell._handle(node_datagram.NodeDatagram("10.0.0.1", 1, b""))
    shell._schedule(0.0)
    await asyncio.sleep(seconds)
    shell._tick_timer.cancel()
    return failing.ticks


def test_ticks_go_on_after_an_unexpected_error():
    """Guards against a node whose timers stop at one error, with its process alive."""
    assert asyncio.run(_run_past_an_error(Shell, 0.2)) >= 3


def test_ticks_go_on_after_an_error_in_the_work_after_a_tick():
    """Guards against an agent that reports nothing more, with its process alive."""
    seconds = 2.5 * stream_shell.IDLE_SECONDS
    assert asyncio.run(_run_past_an_error(IdleShell, seconds)) >= 2


class QuietShell(Shell):
    """Shell whose core waits for nothing."""

    def _needs_tick_soon(self):
        return False


async def _count_idle_ticks(seconds):
    working = FailingCore()
    working.ticks = 1
    shell = QuietShell(working, telemetry.disabled())
    shell._schedule(0.0)
    await asyncio.sleep(seconds)
    shell._tick_timer.cancel()
    return working.ticks - 1


def test_idle_node_rarely_wakes_up():
    """Guards against ticks every 20 ms at nodes that wait for nothing."""
    assert asyncio.run(_count_idle_ticks(1.1)) <= 5


def test_holdings_with_keys_of_another_size_are_dropped():
    """Guards against an exception at a key that cannot be an address."""
    entry = stream_entry_core.StreamEntryCore(stream_site.CODEC, "zone-a", 1)
    message = holdings.Holdings((b"", b"short"), (b"x" * 99,), (b"",))
    event = node_datagram.NodeDatagram("10.0.0.1", 1, stream_codec.encode(message))
    assert entry.handle(0.0, event) == []
    assert entry.open_flows == 0
