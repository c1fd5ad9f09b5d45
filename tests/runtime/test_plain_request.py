"""Plain requests must get the same answers as those that the HTTP library reads."""

from __future__ import annotations

import asyncio

from limpetreel.runtime import plain_request
from tests import fixtures
from tests.runtime import test_http_server

load_tests = fixtures.load_functions(globals())

UNUSUAL = b"X: a\tb\r\n"
"""Header that leaves a request to the library; it changes nothing else."""


def test_plain_requests_get_the_bytes_that_the_library_sends():
    """Guards against a client that depends on the form of the library's responses."""
    for first, headers, body in (
        (b"GET /a?b=1 HTTP/1.1", b"Host: x\r\n", b""),
        (b"POST /a HTTP/1.1", b"host: x\r\nContent-Length: 2\r\n", b"{}"),
        (b"GET /a HTTP/1.1", b"Host: x\r\nConnection: close\r\n", b""),
        (b"POST /a HTTP/1.1", b"Host: x\r\nConnection: keep-alive\r\n", b""),
    ):
        plain = b"\r\n".join((first, headers, body))
        unusual = b"\r\n".join((first, UNUSUAL + headers, body))
        assert isinstance(plain_request.parse(plain), plain_request.PlainRequest)
        assert plain_request.parse(unusual) is None
        answer = asyncio.run(test_http_server.exchange(plain))
        assert answer == asyncio.run(test_http_server.exchange(unusual)), plain
        assert answer[0].startswith(b"HTTP/1.1 200"), plain


def test_request_is_left_to_the_library_if_in_doubt():
    """Guards against two readers that see different requests in the same bytes."""
    for data in (
        b"GET / HTTP/1.1\r\n\r\n",
        b"GET / HTTP/1.0\r\nHost: x\r\n\r\n",
        b"HEAD / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"GET  / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"GET /\xe4 HTTP/1.1\r\nHost: x\r\n\r\n",
        b"GET / HTTP/1.1\nHost: x\n\n",
        b"GET / HTTP/1.1\r\nHost : x\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\n y: z\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\nA\x00: z\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1, 1\r\n\r\n",
        b"\x16\x03\x01",
        b"G" * 9000,
    ):
        assert plain_request.parse(data) is None, data


def test_request_in_parts_is_read_whole():
    """Guards against a client that sends headers and body in separate packets."""
    data = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"
    for size in range(len(data)):
        assert plain_request.parse(data[:size]) == plain_request.Incomplete(), size
    parsed = plain_request.parse(data + b"GET ")
    assert isinstance(parsed, plain_request.PlainRequest)
    assert (parsed.request.body, parsed.rest, parsed.is_last) == (b"{}", b"GET ", False)
