"""Small HTTP/1.1 server.

Plain requests are read by `plain_request`, all others by the library ``h11``.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator

from limpetreel.runtime import http_request, http_response, plain_request

RECEIVE_BYTES = 65536
MAX_BODY_BYTES = 4 * 1024 * 1024
"""Enough for a configuration of tens of thousands of routes."""
MAX_CONNECTIONS = 128
REQUEST_SECONDS = 5.0
"""Time limit for sending a request, so that slow clients do not hold connections."""
IDLE_SECONDS = 30.0
WRITE_SECONDS = 5.0
CLOSE_SECONDS = 0.2
"""Time limit for responses in progress at a planned stop; they are a few kilobytes."""

Handler = Callable[[http_request.HttpRequest], Awaitable[http_response.HttpResponse]]
Refuse = Callable[[str, object, str], None]


class HttpServer:
    """Serves HTTP requests on one address.

    Parameters
    ----------
    handler : callable
        Coroutine function that returns the response to a request.
    refuse : callable
        Called with step, peer and reason for each rejected request.
    """

    def __init__(self, handler: Handler, refuse: Refuse) -> None:
        self._handler = handler
        self._refuse = refuse
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], asyncio.StreamWriter] = {}
        self._idle: set[asyncio.StreamWriter] = set()
        self._is_closing = False

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=RECEIVE_BYTES, backlog=256
        )

    @property
    def address(self) -> tuple[str, int]:
        """Return the address that the server listens on."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()

    async def close(self) -> None:
        """Stop listening and finish the requests in progress."""
        self._is_closing = True
        if self._server is not None:
            self._server.close()
        for writer in self._idle:
            writer.close()
        if not self._connections:
            return
        _, unfinished = await asyncio.wait(self._connections, timeout=CLOSE_SECONDS)
        for task in unfinished:
            task.cancel()
        if unfinished:
            await asyncio.wait(unfinished, timeout=CLOSE_SECONDS)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = writer.get_extra_info("peername")
        task = asyncio.current_task()
        assert task is not None
        self._connections[task] = writer
        try:
            if len(self._connections) > MAX_CONNECTIONS:
                self._refuse("http.accept", peer, "too many connections")
                return
            await self._serve_requests(reader, writer, peer)
        except TimeoutError:
            self._refuse("http.request", peer, "timeout")
        except OSError:
            self._refuse("http.request", peer, "connection closed")
        except asyncio.CancelledError:
            self._refuse("http.request", peer, "not finished at the stop")
            writer.transport.abort()
        finally:
            writer.close()
            # At the end of the process, the task can be cancelled while it closes.
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await writer.wait_closed()
            del self._connections[task]

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, peer: object
    ) -> None:
        data = b""
        while not self._is_closing:
            with self._idling(writer):
                req = await _read_plain(reader, data)
            if not isinstance(req, plain_request.PlainRequest):
                if req:
                    await self._serve_with_library(reader, writer, peer, req)
                return
            data = req.rest
            res = await self._handler(req.request)
            await _write(writer, _encode(res, req.is_last))
            if req.is_last:
                return

    async def _serve_with_library(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        peer: object,
        received: bytes,
    ) -> None:
        """Serve the rest of a connection, from a request that is not plain."""
        # Imported at the first such request: it takes a tenth of the time to start.
        from limpetreel.runtime import http_connection

        conn = http_connection.HttpConnection(reader, received)
        while not self._is_closing:
            try:
                with self._idling(writer):
                    req = await conn.read()
            except http_connection.MalformedError as exc:
                self._refuse("http.request", peer, "malformed")
                if exc.status:
                    res = http_response.HttpResponse(exc.status)
                    await _write(writer, conn.encode(res))
                return
            if req is None:
                return
            await _write(writer, conn.encode(await self._handler(req)))
            if not conn.start_next():
                return

    @contextlib.contextmanager
    def _idling(self, writer: asyncio.StreamWriter) -> Iterator[None]:
        """Mark a connection on which no request is in progress."""
        self._idle.add(writer)
        try:
            yield
        finally:
            self._idle.discard(writer)


async def _read_plain(
    reader: asyncio.StreamReader, data: bytes
) -> plain_request.PlainRequest | bytes:
    """Return the next request, or the received data if the library has to read it."""
    seconds = IDLE_SECONDS
    while True:
        req = plain_request.parse(data)
        if isinstance(req, plain_request.PlainRequest):
            return req
        if req is None or len(data) > RECEIVE_BYTES:
            return data
        async with asyncio.timeout(seconds):
            received = await reader.read(RECEIVE_BYTES)
        if not received:
            return data
        data += received
        seconds = REQUEST_SECONDS


def _encode(res: http_response.HttpResponse, is_last: bool) -> bytes:
    """Return the bytes of a response, the same as those of the protocol library."""
    lines = [
        f"HTTP/1.1 {res.status} ",
        "Content-Type: application/json",
        f"Content-Length: {len(res.body)}",
    ]
    if res.location:
        lines.append(f"Location: {res.location}")
    if is_last:
        lines.append("Connection: close")
    return "\r\n".join((*lines, "", "")).encode("ascii") + res.body


async def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(data)
    async with asyncio.timeout(WRITE_SECONDS):
        await writer.drain()
