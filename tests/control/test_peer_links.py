"""Connections between control instances that go silent must be replaced."""

from __future__ import annotations

import asyncio
import contextlib
import time

from limpetreel.control import peer_links
from limpetreel.wire import frame_codec
from tests import fixtures
from tests.control import control_processes

KEY = b"cluster key of the test"


class Middlebox:
    """Forwards TCP until it forgets the connections that are open."""

    def __init__(self, target):
        self.target = target
        self.forgotten = 0
        self.accepted = 0
        self.tasks = []

    async def serve(self, port):
        return await asyncio.start_server(self._accept, "127.0.0.1", port)

    async def _accept(self, reader, writer):
        self.accepted += 1
        number = self.accepted
        other = await asyncio.open_connection("127.0.0.1", self.target)
        self.tasks += [
            asyncio.create_task(self._pump(number, reader, other[1])),
            asyncio.create_task(self._pump(number, other[0], writer)),
        ]

    async def _pump(self, number, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if number > self.forgotten:
                    writer.write(data)


def _links(name, port, heard):
    codec = frame_codec.FrameCodec(KEY, port, 1, peer_links.MAX_MESSAGE_BYTES)
    return peer_links.PeerLinks(
        codec, lambda _, body: heard.append((name, body)), ("127.0.0.1", port)
    )


async def _run():
    ports = control_processes.free_ports(4)
    heard = []
    a, b, c = (_links(n, p, heard) for n, p in zip("abc", ports, strict=False))
    box = Middlebox(ports[1])
    server = await box.serve(ports[3])
    tasks = [asyncio.create_task(item.receive()) for item in (a, b, c)]
    began = time.monotonic()
    number = 0
    # Instance c is heard all the time, which says nothing of the way to b.
    while time.monotonic() < began + 8.0:
        number += 1
        a.send(f"127.0.0.1:{ports[3]}", 17, b"%d" % number)
        a.send(f"127.0.0.1:{ports[2]}", 17, b"a")
        c.send(f"127.0.0.1:{ports[0]}", 17, b"c")
        await asyncio.sleep(0.05)
        arrived = [int(body) for name, body in heard if name == "b"]
        if arrived and not box.forgotten:
            box.forgotten, silent_from = box.accepted, number
        elif arrived and arrived[-1] > silent_from + 1:
            break
    for item in (a, b, c):
        item.close()
    server.close()
    for task in box.tasks:
        task.cancel()
    await asyncio.gather(*tasks, *box.tasks, return_exceptions=True)
    assert box.forgotten
    assert arrived[-1] > silent_from + 1


def test_silent_connection_is_replaced_although_others_are_heard():
    """Guards against a peer that is cut off for good by a forgotten connection."""
    asyncio.run(_run())


load_tests = fixtures.load_functions(globals())
