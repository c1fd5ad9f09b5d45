"""Tests of the HTTP server with faulty clients and at a stop."""

from __future__ import annotations

import asyncio
from unittest import mock

from limpetreel.runtime import http_response, http_server, request_reader
from tests import fixtures

load_tests = fixtures.load_functions(globals())


async def answer(req):
    """Return a response that repeats method and path."""
    return http_response.HttpResponse(200, f"{req.method} {req.path}".encode())


async def exchange(data, responses=1, handler=answer):
    """Send bytes to a server; return its responses and the rejections."""
    refused = []
    server = http_server.HttpServer(handler, lambda *args: refused.append(args))
    await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.address)
    writer.write(data)
    received = b""
    async with asyncio.timeout(5):
        while received.count(b"HTTP/1.1") < responses:
            chunk = await reader.read(65536)
            if not chunk:
                break
            received += chunk
    writer.close()
    await writer.wait_closed()
    await server.close()
    return received, refused


def test_requests_on_one_connection_are_answered_in_order():
    """Guards against a connection that serves only its first request."""
    first = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"
    second = b"GET /b?c=1 HTTP/1.1\r\nHost: x\r\n\r\n"
    received, refused = asyncio.run(exchange(first + second, 2))
    assert b"POST /a" in received
    assert received.endswith(b"GET /b")
    assert not refused


def test_malformed_request_is_answered_with_400():
    """Guards against a close without response, which looks like a network fault."""
    for data in (b"\x00\xff\r\n\r\n", b"GET\r\n\r\n", b"GET / HTTP/1.1\r\n\r\n"):
        received, refused = asyncio.run(exchange(data))
        assert received.startswith(b"HTTP/1.1 400"), data
        assert refused


def test_unbounded_headers_are_refused():
    """Guards against unbounded memory for the headers of one client."""
    received, refused = asyncio.run(
        exchange(b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 50_000)
    )
    assert received.startswith(b"HTTP/1.1 4")
    assert refused


def test_oversized_body_is_refused():
    """Guards against unbounded memory for the body of one request."""
    size = request_reader.MAX_BODY_BYTES + 1
    head = f"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n".encode()
    received, _ = asyncio.run(exchange(head + b"x" * size))
    assert received.startswith(b"HTTP/1.1 413")


async def _exchange_parts(parts):
    """Send a request in parts that the server reads one by one."""
    server = http_server.HttpServer(answer, lambda *args: None)
    await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.address)
    for part in parts:
        writer.write(part)
        await asyncio.sleep(0.05)
    async with asyncio.timeout(5):
        received = await reader.read(65536)
    writer.close()
    await server.close()
    return received


def test_body_that_arrives_after_the_head_is_not_counted_as_headers():
    """Guards against 431 for a document whose client sends head and body apart."""
    size = request_reader.MAX_HEAD_BYTES + 1
    head = f"PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: {2 * size}\r\n\r\n"
    parts = (head.encode(), b"x" * size, b"x" * size)
    assert asyncio.run(_exchange_parts(parts)).startswith(b"HTTP/1.1 200")


def test_head_in_many_parts_is_refused_once_it_is_too_large():
    """Guards against unbounded memory for a head that never ends."""
    line = b"a: " + b"b" * (request_reader.MAX_HEAD_BYTES // 2) + b"\r\n"
    parts = (b"GET / HTTP/1.1\r\n", line, line, line)
    assert asyncio.run(_exchange_parts(parts)).startswith(b"HTTP/1.1 431")


def test_trailer_in_many_parts_is_refused_once_it_is_too_large():
    """Guards against unbounded memory for what follows a body in chunks."""
    head = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    part = b"x" * (request_reader.MAX_HEAD_BYTES // 2)
    parts = (head + b"3\r\nabc\r\n0\r\nA: ", part, part, part)
    assert asyncio.run(_exchange_parts(parts)).startswith(b"HTTP/1.1 431")


async def _receive_late(size, seconds):
    """Return the size of a response that the client does not read for some time."""

    async def answer_at_length(req):
        return http_response.HttpResponse(200, b"x" * size)

    server = http_server.HttpServer(answer_at_length, lambda *args: None)
    await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.address)
    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    await asyncio.sleep(seconds)
    received = 0
    try:
        async with asyncio.timeout(5):
            while data := await reader.read(65536):
                received += len(data)
    except ConnectionResetError:
        pass
    writer.close()
    await server.close()
    return received


def test_connection_of_a_client_that_does_not_read_is_aborted():
    """Guards against connections that clients without a sign of life hold for good."""
    size = 16 * 1024 * 1024
    with mock.patch.object(http_server, "WRITE_SECONDS", 0.1):
        assert asyncio.run(_receive_late(size, 0.5)) < size


async def _stop_during(handler_seconds):
    """Stop a server that has an idle connection and one with a request in progress."""
    loop_errors = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: loop_errors.append(context))
    handler_called = asyncio.Event()

    async def slow_handler(req):
        handler_called.set()
        await asyncio.sleep(handler_seconds)
        return http_response.HttpResponse(503)

    refused = []
    server = http_server.HttpServer(slow_handler, lambda *args: refused.append(args))
    await server.start("127.0.0.1", 0)
    _, idle_writer = await asyncio.open_connection(*server.address)
    reader, writer = await asyncio.open_connection(*server.address)
    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    await handler_called.wait()
    started_at = loop.time()
    await server.close()
    seconds = loop.time() - started_at
    async with asyncio.timeout(5):
        received = await reader.read()
    for client_writer in (writer, idle_writer):
        client_writer.close()
    return received, refused, loop_errors, seconds


def test_request_in_progress_is_answered_before_the_server_closes():
    """Guards against a stop that drops the response of a request in progress."""
    received, refused, loop_errors, _ = asyncio.run(_stop_during(handler_seconds=0.02))
    assert received.startswith(b"HTTP/1.1 503")
    assert not refused
    assert not loop_errors


def test_slow_handler_does_not_delay_the_stop():
    """Guards against a stop that waits without limit for a handler."""
    received, refused, loop_errors, seconds = asyncio.run(
        _stop_during(handler_seconds=30)
    )
    assert received == b""
    assert [args[-1] for args in refused] == ["not finished at the stop"]
    assert not loop_errors
    assert seconds < 1.0


async def _end_after_close(loop_errors):
    """Close a server whose handler does not return, then end the event loop."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: loop_errors.append(context))
    handler_called = asyncio.Event()

    async def hanging_handler(req):
        handler_called.set()
        await asyncio.sleep(30)
        return http_response.HttpResponse(200)

    server = http_server.HttpServer(hanging_handler, lambda *args: None)
    await server.start("127.0.0.1", 0)
    _, writer = await asyncio.open_connection(*server.address)
    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    await handler_called.wait()
    await server.close()


def test_closed_server_leaves_no_task():
    """Guards against a task that is cancelled with a traceback at the process end."""
    loop_errors = []
    asyncio.run(_end_after_close(loop_errors))
    assert not loop_errors


def test_unexpected_error_is_answered_with_500():
    """Guards against a client that waits, and a task that ends without a log line."""

    async def fail(req):
        raise KeyError(req.path)

    received, refused = asyncio.run(
        exchange(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", handler=fail)
    )
    assert received.startswith(b"HTTP/1.1 500")
    assert [args[2] for args in refused] == ["KeyError"]


async def _stop_after(data):
    """Stop a server when a request has arrived that it has not read yet."""
    server = http_server.HttpServer(answer, lambda *args: None)
    await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.address)
    writer.write(data)
    await server.close()
    async with asyncio.timeout(5):
        received = await reader.read()
    writer.close()
    return received


def test_request_that_has_just_arrived_is_answered_before_the_server_closes():
    """Guards against a call without a response, whose outcome nobody knows."""
    received = asyncio.run(_stop_after(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"))
    assert received.endswith(b"GET /a")
