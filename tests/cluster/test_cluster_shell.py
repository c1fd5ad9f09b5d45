"""Tests of a control instance on real sockets."""

from __future__ import annotations

import asyncio
import json
import random
import socket

from limpetreel import exceptions
from limpetreel.cluster import (
    call_status,
    cluster_core,
    cluster_shell,
    durable_instance,
)
from limpetreel.cluster.events import change_requested, node_connected
from limpetreel.cluster.messages import cluster_codec, hello
from limpetreel.consensus import member, open_membership, raft_core
from limpetreel.node import tick
from limpetreel.platform import configuration_format
from limpetreel.runtime import frame_protocol
from limpetreel.storage import log_store
from limpetreel.telemetry import telemetry
from tests import fixtures
from tests.cluster import control_group
from tests.storage import fake_disk

load_tests = fixtures.load_functions(globals())

HOST = "127.0.0.1"
PARSER = configuration_format.ConfigurationFormat()
COMMAND = control_group.ControlGroup(1).replace(4)
LATER = control_group.ControlGroup(1).replace(5)
DONE = call_status.CallStatus.DONE
UNAVAILABLE = call_status.CallStatus.UNAVAILABLE


class NoApi(cluster_shell.OperatorApi):
    """Operators that call the shell directly."""

    async def start(self, shell):
        """Do nothing."""

    async def close(self):
        """Do nothing."""


class FailingCore(cluster_core.ClusterCore):
    """Core that raises an error at some events, after it has handled them."""

    def __init__(self, fail, *args):
        super().__init__(*args)
        self.fail = fail

    def handle(self, now, event):
        """Handle an event and raise an error that nothing expects."""
        actions = super().handle(now, event)
        if self.fail(event):
            raise KeyError("a name that is not known")
        return actions


def free_address():
    """Return an address that nothing listens on."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()


def build(files, others=(), fail=lambda event: False):
    """Return the shell of an instance whose group has these other members.

    Its core raises an unexpected error at each event for which `fail` is true.
    """
    listen = free_address()
    address = f"{listen[0]}:{listen[1]}"
    names = (address, *others)
    founders = tuple(member.Member(n, 1, n) for n in names)

    def open_instance():
        store = log_store.LogStore(files)
        if store.recover() is None:
            store.create(address, 1, founders)
        raft = raft_core.RaftCore(
            store.recover(),
            random.Random(1),
            address,
            names,
            open_membership.OpenMembership(len(names)),
            4,
        )
        core = FailingCore(fail, raft, PARSER, address)
        return durable_instance.DurableInstance(core, store)

    return cluster_shell.ClusterShell(
        listen, "n-1", open_instance, NoApi(), telemetry.disabled()
    )


async def _stop_during_call():
    shell = build(fake_disk.FakeDisk(), others=("127.0.0.1:9", "127.0.0.1:10"))
    stopped = asyncio.Event()
    serving = asyncio.create_task(shell.serve(stopped))
    await asyncio.sleep(0.1)
    call = asyncio.create_task(shell.change(COMMAND))
    await asyncio.sleep(0)
    stopped.set()
    await serving
    async with asyncio.timeout(1):
        return await call


def test_waiting_call_is_answered_before_a_planned_stop():
    """Guards against operators that wait for an instance that has stopped."""
    answer = asyncio.run(_stop_during_call())
    assert answer.status is UNAVAILABLE


async def _call_after_stop():
    shell = build(fake_disk.FakeDisk())
    stopped = asyncio.Event()
    stopped.set()
    await shell.serve(stopped)
    async with asyncio.timeout(1):
        return [(await call).status for call in (shell.change(COMMAND), shell.read())]


def test_call_that_is_read_during_the_stop_is_answered_at_once():
    """Guards against an operator that waits for a connection that is cut."""
    assert asyncio.run(_call_after_stop()) == [UNAVAILABLE, UNAVAILABLE]


async def _change_until_done(shell, command):
    """Repeat a change for five seconds until it is acknowledged."""
    async with asyncio.timeout(5):
        while True:
            answer = await shell.change(command)
            if answer.status is DONE:
                return
            await asyncio.sleep(0.1)


async def _fill_disk(is_full_at_start):
    """Return the outcomes of a change and a read while the disk is full."""
    files = fake_disk.FakeDisk()
    files.is_full = is_full_at_start
    shell = build(files)
    stopped = asyncio.Event()
    serving = asyncio.create_task(shell.serve(stopped))
    if is_full_at_start:
        await asyncio.sleep(0.1)
    else:
        await _change_until_done(shell, COMMAND)
    files.is_full = True
    answers = [await shell.change(LATER), await shell.read()]
    # Longer than two attempts to recover.
    await asyncio.sleep(2.2 * cluster_shell.REOPEN_SECONDS)
    assert not serving.done()
    logs = [name for name in files.list_files() if name.startswith("log-")]
    files.is_full = False
    await _change_until_done(shell, LATER)
    stopped.set()
    await serving
    return [answer.status for answer in answers], logs


def test_instance_goes_on_once_the_disk_has_space_again():
    """Guards against an instance that never recovers after a full disk."""
    statuses, logs = asyncio.run(_fill_disk(is_full_at_start=False))
    assert statuses == [UNAVAILABLE, UNAVAILABLE]
    assert len(logs) <= 2


def test_instance_starts_once_the_disk_has_space():
    """Guards against a process that exits repeatedly while the disk is full."""
    statuses, logs = asyncio.run(_fill_disk(is_full_at_start=True))
    assert statuses == [UNAVAILABLE, UNAVAILABLE]
    assert not logs


async def _fail_sync():
    files = fake_disk.FakeDisk()
    shell = build(files)
    serving = asyncio.create_task(shell.serve(asyncio.Event()))
    await _change_until_done(shell, COMMAND)
    files.fail_sync_in = 0
    answer = await shell.change(LATER)
    # Later syncs succeed, but the log still cannot be trusted.
    files.fail_sync_in = None
    async with asyncio.timeout(2):
        await asyncio.wait([serving])
    return answer.status, serving.exception()


def test_failed_sync_ends_the_instance():
    """Guards against an instance that keeps running without a log and never votes."""
    status, exc = asyncio.run(_fail_sync())
    assert status is UNAVAILABLE
    assert isinstance(exc, exceptions.StorageError)


async def _fail_at(event_type):
    """Return how often the log was opened around one error at an event."""
    armed, shells = [], []

    def fail(event):
        return isinstance(event, event_type) and bool(armed) and bool(armed.pop())

    shell = build(fake_disk.FakeDisk(), fail=fail)
    open_instance = shell._open_instance
    shell._open_instance = lambda: shells.append(1) or open_instance()
    stopped = asyncio.Event()
    serving = asyncio.create_task(shell.serve(stopped))
    await _change_until_done(shell, COMMAND)
    armed.append(True)
    link = frame_protocol.FrameProtocol(lambda *args: None, lambda link: None)
    await asyncio.get_running_loop().create_connection(lambda: link, *shell._listen)
    link.send(cluster_codec.encode(hello.Hello("edge-1", "", True)))
    await asyncio.sleep(0.2)
    link.abort()
    if event_type is change_requested.ChangeRequested:
        assert (await shell.change(LATER)).status is UNAVAILABLE
    await _change_until_done(shell, LATER)
    answer = await shell.read()
    stopped.set()
    await serving
    return len(shells), json.loads(answer.document)["Version"]


def test_unexpected_error_at_a_tick_or_call_recovers_from_the_files():
    """Guards against an end of the process, and against a log that only memory has."""
    for event_type in (tick.Tick, change_requested.ChangeRequested):
        assert asyncio.run(_fail_at(event_type)) == (2, 5)


def test_unexpected_error_of_a_node_drops_only_its_event():
    """Guards against a node whose connection makes control start anew."""
    assert asyncio.run(_fail_at(node_connected.NodeConnected)) == (1, 5)
