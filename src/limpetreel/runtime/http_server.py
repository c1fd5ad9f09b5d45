"""Small HTTP/1.1 server whose requests ``httptools`` reads."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from limpetreel.runtime import http_request, http_response

if TYPE_CHECKING:
    from limpetreel.runtime import request_reader

RECEIVE_BYTES = 65536
MAX_CONNECTIONS = 128
REQUEST_SECONDS = 5.0
"""Time limit for sending a request, so that slow clients do not hold connections."""
IDLE_SECONDS = 30.0
WRITE_SECONDS = 5.0
ARRIVED_SECONDS = 0.02
"""Time at a planned stop to read the requests that have already arrived."""
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
        await asyncio.sleep(ARRIVED_SECONDS)
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
            await _close(writer)
            del self._connections[task]

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, peer: object
    ) -> None:
        # Imported with the first connection; a role serves packets before that.
        from limpetreel.runtime import request_reader

        requests = request_reader.RequestReader()
        is_first = True
        while is_first or not self._is_closing:
            is_first = False
            self._idle.add(writer)
            try:
                req = await self._read_request(requests, reader, writer)
            except request_reader.RequestError as exc:
                self._refuse("http.request", peer, "malformed")
                res = http_response.HttpResponse(exc.status)
                await _write(writer, res, is_last=True)
                return
            finally:
                self._idle.discard(writer)
            if req is None:
                return
            is_last = requests.is_last and not requests.has_next
            await _write(writer, await self._respond(req, peer), is_last)
            if is_last:
                return

    async def _read_request(
        self,
        requests: request_reader.RequestReader,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> http_request.HttpRequest | None:
        """Return the next request, None if the client closed the connection."""
        seconds = IDLE_SECONDS
        while (req := requests.take()) is None:
            async with asyncio.timeout(seconds):
                data = await reader.read(RECEIVE_BYTES)
            self._idle.discard(writer)
            if not data:
                if requests.is_in_progress:
                    self._refuse(
                        "http.request", writer.get_extra_info("peername"), "malformed"
                    )
                return None
            requests.feed(data)
            seconds = REQUEST_SECONDS
        return req

    async def _respond(
        self, req: http_request.HttpRequest, peer: object
    ) -> http_response.HttpResponse:
        try:
            return await self._handler(req)
        except Exception as exc:  # the client would wait for a response
            self._refuse("http.handler", peer, type(exc).__name__)
            return http_response.HttpResponse(500)


async def _close(writer: asyncio.StreamWriter) -> None:
    """Close a connection; what the client does not read in time is dropped."""
    writer.close()
    try:
        async with asyncio.timeout(WRITE_SECONDS):
            await writer.wait_closed()
    except (OSError, asyncio.CancelledError):
        # At the end of the process, the task can be cancelled while it closes.
        writer.transport.abort()


async def _write(
    writer: asyncio.StreamWriter, res: http_response.HttpResponse, is_last: bool
) -> None:
    lines = [
        f"HTTP/1.1 {res.status} ",
        "Content-Type: application/json",
        f"Content-Length: {len(res.body)}",
    ]
    if res.location:
        lines.append(f"Location: {res.location}")
    if is_last:
        lines.append("Connection: close")
    writer.write("\r\n".join((*lines, "", "")).encode("ascii") + res.body)
    async with asyncio.timeout(WRITE_SECONDS):
        await writer.drain()
