"""Tests of messages over a connection that ends in the middle of one."""

from __future__ import annotations

import asyncio

from limpetreel.runtime import frame_protocol
from tests import fixtures

load_tests = fixtures.load_functions(globals())


async def _receive(data):
    """Return the messages in bytes after which the connection ends."""
    frames = []
    ended = asyncio.get_running_loop().create_future()
    server = await asyncio.get_running_loop().create_server(
        lambda: frame_protocol.FrameProtocol(
            lambda link, frame: frames.append(frame), ended.set_result
        ),
        "127.0.0.1",
        0,
    )
    _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    writer.write(data)
    writer.close()
    async with asyncio.timeout(5):
        await ended
    server.close()
    return frames


def test_message_that_broke_off_is_not_passed_on():
    """Guards against half of a list or document that looks like all of it."""
    whole = b"".join(len(m).to_bytes(4, "big") + m for m in (b"first", b"second"))
    for size in range(len(whole) + 1):
        expected = [b"first"] if size >= 9 else []
        expected += [b"second"] if size == len(whole) else []
        assert asyncio.run(_receive(whole[:size])) == expected, size
