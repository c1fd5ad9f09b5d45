"""Small HTTP/1.1 server on the protocol library ``h11``."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from limpetreel.runtime import http_request, http_response

if TYPE_CHECKING:
    import h11

RECEIVE_BYTES = 65536
MAX_BODY_BYTES = 4 * 1024 * 1024
"""Enough for a configuration of tens of thousands of routes."""
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
            writer.close()
            # At the end of the process, the task can be cancelled while it closes.
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await writer.wait_closed()
            del self._connections[task]

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, peer: object
    ) -> None:
        # Takes a tenth of the start of a role, which serves packets before that.
        import h11

        conn = h11.Connection(h11.SERVER)
        is_first = True
        while is_first or not self._is_closing:
            is_first = False
            self._idle.add(writer)
            try:
                req = await self._read_request(conn, reader, writer)
            except h11.RemoteProtocolError as exc:
                self._refuse("http.request", peer, "malformed")
                if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    res = http_response.HttpResponse(exc.error_status_hint)
                    await _write(conn, writer, res)
                return
            finally:
                self._idle.discard(writer)
            if req is None:
                return
            await _write(conn, writer, await self._respond(req, peer))
            if conn.our_state is not h11.DONE:
                return
            conn.start_next_cycle()

    async def _read_request(
        self,
        conn: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> http_request.HttpRequest | None:
        """Return the next request, None if the client closed the connection."""
        import h11

        head: h11.Request | None = None
        body = bytearray()
        seconds = IDLE_SECONDS
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(seconds):
                    data = await reader.read(RECEIVE_BYTES)
                self._idle.discard(writer)
                conn.receive_data(data)
                seconds = REQUEST_SECONDS
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise h11.RemoteProtocolError(
                        "body too large", error_status_hint=413
                    )
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                path = head.target.decode("ascii", "replace").partition("?")[0]
                return http_request.HttpRequest(
                    head.method.decode("ascii", "replace"), path, bytes(body)
                )
            else:
                return None

    async def _respond(
        self, req: http_request.HttpRequest, peer: object
    ) -> http_response.HttpResponse:
        try:
            return await self._handler(req)
        except Exception as exc:  # the client would wait for a response
            self._refuse("http.handler", peer, type(exc).__name__)
            return http_response.HttpResponse(500)


async def _write(
    conn: h11.Connection,
    writer: asyncio.StreamWriter,
    res: http_response.HttpResponse,
) -> None:
    import h11

    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(res.body))),
    ]
    if res.location:
        headers.append(("Location", res.location))
    data = conn.send(h11.Response(status_code=res.status, headers=headers)) or b""
    if res.body:
        data += conn.send(h11.Data(data=res.body)) or b""
    data += conn.send(h11.EndOfMessage()) or b""
    writer.write(data)
    async with asyncio.timeout(WRITE_SECONDS):
        await writer.drain()
