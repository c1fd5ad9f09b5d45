"""Connections between control instances that stop delivering must be replaced."""

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
    """Forwards TCP and drops the data of connections whose state it has lost."""

    def __init__(self, target):
        self.target = target
        self.dropped = 0
        self.accepted = 0
        self.tasks = []
        self.writers = []

    async def serve(self, port):
        return await asyncio.start_server(self._accept, "127.0.0.1", port)

    async def _accept(self, reader, writer):
        self.accepted += 1
        number = self.accepted
        upstream = await asyncio.open_connection("127.0.0.1", self.target)
        self.writers += [writer, upstream[1]]
        self.tasks += [
            asyncio.create_task(self._pump(number, reader, upstream[1])),
            asyncio.create_task(self._pump(number, upstream[0], writer)),
        ]

    async def _pump(self, number, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if number > self.dropped:
                    writer.write(data)


def _links(name, port, received):
    codec = frame_codec.FrameCodec(KEY, port, 1, peer_links.MAX_MESSAGE_BYTES)
    return peer_links.PeerLinks(
        codec, lambda _, body: received.append((name, body)), ("127.0.0.1", port)
    )


async def _run():
    ports = control_processes.free_ports(4)
    received = []
    a, b, c = (_links(n, p, received) for n, p in zip("abc", ports, strict=False))
    box = Middlebox(ports[1])
    server = await box.serve(ports[3])
    tasks = [asyncio.create_task(links.receive()) for links in (a, b, c)]
    began = time.monotonic()
    number = 0
    # Messages from c arrive throughout, which does not show that the path to b works.
    while time.monotonic() < began + 8.0:
        number += 1
        a.send(f"127.0.0.1:{ports[3]}", 17, b"%d" % number)
        a.send(f"127.0.0.1:{ports[2]}", 17, b"a")
        c.send(f"127.0.0.1:{ports[0]}", 17, b"c")
        await asyncio.sleep(0.05)
        arrived = [int(body) for name, body in received if name == "b"]
        if arrived and not box.dropped:
            box.dropped, dropped_from = box.accepted, number
        elif arrived and arrived[-1] > dropped_from + 1:
            break
    for links in (a, b, c):
        links.close()
    server.close()
    for task in box.tasks:
        task.cancel()
    await asyncio.gather(*tasks, *box.tasks, return_exceptions=True)
    for writer in box.writers:
        writer.close()
    assert box.dropped
    assert arrived[-1] > dropped_from + 1


def test_unresponsive_connection_is_replaced_while_others_send():
    """Guards against a peer that stays cut off after a middlebox lost a connection."""
    asyncio.run(_run())


load_tests = fixtures.load_functions(globals())
