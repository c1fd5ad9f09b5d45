"""Tests of a control instance on real sockets."""

from __future__ import annotations

import asyncio
import random
import socket

from limpetreel.cluster import call_status, cluster_core, cluster_shell
from limpetreel.consensus import member, open_membership, raft_core
from limpetreel.platform import configuration_format
from limpetreel.storage import log_store
from limpetreel.telemetry import telemetry
from tests import fixtures
from tests.cluster import control_group
from tests.storage import fake_disk

load_tests = fixtures.load_functions(globals())

HOST = "127.0.0.1"
PARSER = configuration_format.ConfigurationFormat()
COMMAND = control_group.ControlGroup(1).replace(4)


class NoApi(cluster_shell.OperatorApi):
    """Operators that call the shell directly."""

    async def start(self, shell):
        """Do nothing."""

    async def close(self):
        """Do nothing."""


def free_address():
    """Return an address that nothing listens on."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()


def build(files, others=()):
    """Return the shell of an instance whose group has these other members."""
    listen = free_address()
    address = f"{listen[0]}:{listen[1]}"
    names = (address, *others)
    founders = tuple(member.Member(n, 1, n) for n in names)
    store = log_store.LogStore(files)
    store.create(address, 1, founders)
    raft = raft_core.RaftCore(
        store.recover(),
        random.Random(1),
        address,
        names,
        open_membership.OpenMembership(len(names)),
        4,
    )
    core = cluster_core.ClusterCore(raft, PARSER, address)
    return cluster_shell.ClusterShell(
        listen, "n-1", core, store, NoApi(), telemetry.disabled()
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
    """Guards against operators that wait for an instance which is gone."""
    answer = asyncio.run(_stop_during_call())
    assert answer.status is call_status.CallStatus.UNAVAILABLE
