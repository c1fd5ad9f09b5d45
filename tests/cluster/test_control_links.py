"""Tests of connections between control instances on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import random
import socket
import time

from limpetreel.cluster import control_client, control_links
from limpetreel.runtime import frame_protocol
from limpetreel.telemetry import telemetry
from tests import fixtures

load_tests = fixtures.load_functions(globals())

HOST = "127.0.0.1"
HELLO, ALIVE = b"hello ", b"alive"


class Peer:
    """Control instance that listens, and dials the others through `ControlLinks`."""

    def __init__(self):
        self.received = []
        self.changes = []

    async def listen(self):
        """Listen and return the address."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: frame_protocol.FrameProtocol(self.receive, lambda link: None),
            HOST,
            0,
        )
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        hello = HELLO + self.address.encode()
        self.links = control_links.ControlLinks(hello, ALIVE, self.receive)
        self.links.on_change = lambda address, is_up: self.changes.append(is_up)
        return self.address

    def receive(self, link, data):
        """Note a message; the first one names the instance that has dialled."""
        if data.startswith(HELLO):
            self.take_connection(data.removeprefix(HELLO).decode(), link)
        else:
            self.received.append(data)
        if link.remote:
            self.links.record_receipt(link.remote)

    def take_connection(self, address, link):
        """Use a connection that the instance at an address has opened."""
        link.remote = address
        self.links.accept(link)

    def close(self):
        """Close all connections."""
        self.links.close()
        self.server.close()


@contextlib.contextmanager
def silent_listener():
    """Yield an address at which connections are never accepted, like a lost machine."""
    with contextlib.ExitStack() as stack:
        server = stack.enter_context(socket.socket())
        server.bind((HOST, 0))
        server.listen(0)
        for _ in range(4):
            sock = stack.enter_context(socket.socket())
            sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                sock.connect(server.getsockname())
        host, port = server.getsockname()
        time.sleep(0.05)
        yield f"{host}:{port}"


async def _answer_without_own_dial():
    one, two = Peer(), Peer()
    await one.listen()
    await two.listen()
    with silent_listener() as silent:
        # The second instance is known at an address that does not answer a dial yet.
        accepted = frame_protocol.FrameProtocol(one.receive, lambda link: None)
        host, _, port = two.address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: accepted, host, int(port))
        one.take_connection(silent, accepted)
        one.links.send(silent, b"vote")
        await asyncio.sleep(0.05)
        received = list(two.received)
        one.close()
        two.close()
    return received


def test_peer_that_has_dialled_is_answered_while_the_own_dial_is_pending():
    """Guards against votes that wait for a dial to a machine that has just returned."""
    assert asyncio.run(_answer_without_own_dial()) == [b"vote"]


async def _send_one_way(seconds):
    one, two = Peer(), Peer()
    await one.listen()
    await two.listen()
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        one.links.send(two.address, b"report")
        await asyncio.sleep(0.1)
    changes = list(one.changes)
    one.close()
    two.close()
    return changes


def test_link_to_an_instance_that_has_nothing_to_send_stays_up():
    """Guards against a new connection each second to peers that only listen."""
    assert asyncio.run(_send_one_way(2.5)) == [True]


async def _connect_past_silent_instances(silent):
    views = []
    peer = Peer()
    address = await peer.listen()
    client = control_client.ControlClient(
        "n-1",
        lambda: [*silent, address],
        False,
        lambda view, until: views.append(view),
        telemetry.disabled(),
        random.Random(1),
    )
    began_at = time.monotonic()
    task = asyncio.create_task(client.run())
    while not peer.received:
        await asyncio.sleep(0.005)
        assert time.monotonic() - began_at < 5.0
    task.cancel()
    peer.close()
    return time.monotonic() - began_at


def test_node_reaches_a_running_instance_past_lost_ones_soon():
    """Guards against dials that wait for each lost machine in turn."""
    with contextlib.ExitStack() as stack:
        silent = [stack.enter_context(silent_listener()) for _ in range(4)]
        seconds = asyncio.run(_connect_past_silent_instances(silent))
    assert seconds < 0.4


async def _follow_past_errors():
    """Return whether a node reaches control after two kinds of wrong seeds."""
    peer = Peer()
    address = await peer.listen()
    attempts = iter((["no-port"], [f"{HOST}:99999"], [f"{'x' * 70}.y:1"]))

    def seeds():
        if (wrong := next(attempts, None)) is not None:
            return wrong
        if not raised:
            raised.append(True)
            raise KeyError("settings")
        return [address]

    raised = []
    client = control_client.ControlClient(
        "edge-1",
        seeds,
        True,
        lambda view, until: None,
        telemetry.disabled(),
        random.Random(1),
    )
    task = asyncio.create_task(client.run())
    until = asyncio.get_running_loop().time() + 5
    while not peer.received and asyncio.get_running_loop().time() < until:
        await asyncio.sleep(0.05)
    is_running = not task.done()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    peer.close()
    return is_running, bool(peer.received)


def test_wrong_seeds_or_an_unexpected_error_do_not_end_the_search_for_control():
    """Guards against a node that keeps its last state for good, with no log line."""
    assert asyncio.run(_follow_past_errors()) == (True, True)


async def _send_to_wrong_addresses():
    """Return the errors of tasks that dialled addresses which are none."""
    errors = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: errors.append(context))
    links = control_links.ControlLinks(HELLO, ALIVE, lambda link, data: None)
    for address in ("", "no-port", f"{HOST}:99999"):
        links.send(address, b"x")
    await asyncio.sleep(0.1)
    gc.collect()
    links.close()
    return errors


def test_wrong_address_of_another_instance_is_a_dial_in_vain():
    """Guards against tasks that end silently."""
    assert asyncio.run(_send_to_wrong_addresses()) == []
