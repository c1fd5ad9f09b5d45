"""A graceful shutdown of an entry loses no packets."""

from __future__ import annotations

import asyncio
import types

from limpetreel.entry import entry_shell
from limpetreel.node import leave_requested, tick
from tests import fixtures


class _Core:
    """Core that counts the ticks after a request to leave."""

    def __init__(self):
        self.link = self
        self.left = False
        self.ticks_after = 0

    def handle(self, now, event):
        self.left = self.left or isinstance(event, leave_requested.LeaveRequested)
        self.ticks_after += self.left and isinstance(event, tick.Tick)
        return []


def test_entry_still_forwards_after_it_left():
    """Guards against packets lost in a graceful shutdown.

    The fabric takes some time to stop using the entry.
    """
    core = _Core()
    cfg = types.SimpleNamespace(listen=("127.0.0.1", 0), service_ip="127.0.0.1")
    stopped = asyncio.Event()
    stopped.set()
    asyncio.run(entry_shell.EntryShell(cfg, core, None).serve(stopped))
    assert core.left
    assert core.ticks_after > 1


class _FailingCore(_Core):
    """Core that fails at its first tick."""

    def handle(self, now, event):
        super().handle(now, event)
        if self.left and self.ticks_after == 1:
            raise KeyError("a name that is not known")
        return []


def test_entry_goes_on_after_an_unexpected_error():
    """Guards against a process that ends at one event, with all it forwards."""
    core = _FailingCore()
    cfg = types.SimpleNamespace(listen=("127.0.0.1", 0), service_ip="127.0.0.1")
    stopped = asyncio.Event()
    stopped.set()
    asyncio.run(entry_shell.EntryShell(cfg, core, None).serve(stopped))
    assert core.ticks_after > 2


load_tests = fixtures.load_functions(globals())
