"""Tests of the HTTP server with bad clients."""

from __future__ import annotations

import asyncio

from limpetreel.runtime import http_response, http_server
from tests import fixtures

load_tests = fixtures.load_functions(globals())


async def answer(req):
    """Answer with what was asked."""
    return http_response.HttpResponse(200, f"{req.method} {req.path}".encode())


async def talk(data, reads=1):
    """Send bytes to a server and return its answers and what it refused."""
    refused = []
    server = http_server.HttpServer(answer, lambda *words: refused.append(words))
    await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.address)
    writer.write(data)
    found = b""
    async with asyncio.timeout(5):
        while found.count(b"HTTP/1.1") < reads:
            part = await reader.read(65536)
            if not part:
                break
            found += part
    writer.close()
    await writer.wait_closed()
    await server.close()
    return found, refused


def test_requests_on_one_connection_are_answered_in_turn():
    """Guards against a connection that serves its first request only."""
    one = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"
    two = b"GET /b?c=1 HTTP/1.1\r\nHost: x\r\n\r\n"
    found, refused = asyncio.run(talk(one + two, 2))
    assert b"POST /a" in found
    assert found.endswith(b"GET /b")
    assert not refused


def test_malformed_request_gets_a_clear_answer():
    """Guards against a silent end that a client would take for a network fault."""
    for data in (b"\x00\xff\r\n\r\n", b"GET\r\n\r\n", b"GET / HTTP/1.1\r\n\r\n"):
        found, refused = asyncio.run(talk(data))
        assert found.startswith(b"HTTP/1.1 400"), data
        assert refused


def test_endless_headers_end():
    """Guards against a client that fills the memory."""
    found, refused = asyncio.run(talk(b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 50_000))
    assert found.startswith(b"HTTP/1.1 4")
    assert refused


def test_body_that_is_too_large_is_refused():
    """Guards against a document that does not fit into the memory."""
    size = http_server.MAX_BODY_BYTES + 1
    head = f"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n".encode()
    found, _ = asyncio.run(talk(head + b"x" * size))
    assert found.startswith(b"HTTP/1.1 413")


async def _stop_during(answer_seconds):
    """Stop a server with one idle connection and one that waits for its answer."""
    problems = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: problems.append(context))
    is_called = asyncio.Event()

    async def answer_later(req):
        is_called.set()
        await asyncio.sleep(answer_seconds)
        return http_response.HttpResponse(503)

    refused = []
    server = http_server.HttpServer(answer_later, lambda *words: refused.append(words))
    await server.start("127.0.0.1", 0)
    _, idle_writer = await asyncio.open_connection(*server.address)
    reader, writer = await asyncio.open_connection(*server.address)
    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    await is_called.wait()
    began = loop.time()
    await server.close()
    seconds = loop.time() - began
    async with asyncio.timeout(5):
        found = await reader.read()
    for item in (writer, idle_writer):
        item.close()
    return found, refused, problems, seconds


def test_request_under_way_is_answered_before_the_server_closes():
    """Guards against a stop that leaves a call without its answer."""
    found, refused, problems, _ = asyncio.run(_stop_during(answer_seconds=0.02))
    assert found.startswith(b"HTTP/1.1 503")
    assert not refused
    assert not problems


def test_request_that_takes_too_long_does_not_hold_up_the_stop():
    """Guards against a stop that waits for a handler without an end."""
    found, refused, problems, seconds = asyncio.run(_stop_during(answer_seconds=30))
    assert found == b""
    assert [words[-1] for words in refused] == ["not finished at the stop"]
    assert not problems
    assert seconds < 1.0


async def _end_after_close(problems):
    """Close a server with a request that does not end, and end the event loop."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: problems.append(context))
    is_called = asyncio.Event()

    async def answer_never(req):
        is_called.set()
        await asyncio.sleep(30)
        return http_response.HttpResponse(200)

    server = http_server.HttpServer(answer_never, lambda *words: None)
    await server.start("127.0.0.1", 0)
    _, writer = await asyncio.open_connection(*server.address)
    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    await is_called.wait()
    await server.close()


def test_no_task_is_left_when_the_server_has_closed():
    """Guards against a traceback of a task that the end of the process cancels."""
    problems = []
    asyncio.run(_end_after_close(problems))
    assert not problems
