"""Connection of an HTTP client, read with the protocol library ``h11``.

Imported at the first request that is not plain, see `plain_request`.
"""

from __future__ import annotations

import asyncio

import h11

from limpetreel.runtime import http_request, http_response, http_server


class MalformedError(Exception):
    """A request is malformed.

    Parameters
    ----------
    status : int
        Status of the response; 0 if none can be sent.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class HttpConnection:
    """Reads requests and encodes responses.

    Parameters
    ----------
    reader : asyncio.StreamReader
        Data of the client.
    received : bytes
        Data that was read before.
    """

    def __init__(self, reader: asyncio.StreamReader, received: bytes) -> None:
        self._reader = reader
        self._conn = h11.Connection(h11.SERVER)
        self._conn.receive_data(received)

    async def read(self) -> http_request.HttpRequest | None:
        """Return the next request, None if the client closed the connection.

        Raises
        ------
        MalformedError
            If the request is malformed or too large.
        """
        try:
            return await self._read()
        except h11.RemoteProtocolError as exc:
            can_answer = self._conn.our_state in (h11.IDLE, h11.SEND_RESPONSE)
            status = exc.error_status_hint if can_answer else 0
            raise MalformedError(status) from exc

    def encode(self, res: http_response.HttpResponse) -> bytes:
        """Return the bytes of the response to the last request."""
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(res.body))),
        ]
        if res.location:
            headers.append(("Location", res.location))
        conn = self._conn
        data = conn.send(h11.Response(status_code=res.status, headers=headers)) or b""
        if res.body:
            data += conn.send(h11.Data(data=res.body)) or b""
        return data + (conn.send(h11.EndOfMessage()) or b"")

    def start_next(self) -> bool:
        """Prepare for the next request; return whether the connection stays open."""
        if self._conn.our_state is not h11.DONE:
            return False
        self._conn.start_next_cycle()
        return True

    async def _read(self) -> http_request.HttpRequest | None:
        head: h11.Request | None = None
        body = bytearray()
        seconds = http_server.IDLE_SECONDS
        while True:
            event = self._conn.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(seconds):
                    data = await self._reader.read(http_server.RECEIVE_BYTES)
                self._conn.receive_data(data)
                seconds = http_server.REQUEST_SECONDS
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > http_server.MAX_BODY_BYTES:
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
