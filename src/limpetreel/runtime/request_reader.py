"""Requests that arrive on one connection, read by the library ``httptools``."""

from __future__ import annotations

import collections

import httptools

from limpetreel.runtime import http_request

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Enough for a configuration of tens of thousands of routes."""
MAX_HEAD_BYTES = 16 * 1024


class RequestError(Exception):
    """A request that is malformed or too large.

    Attributes
    ----------
    status : int
        Status of the response to it.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class RequestReader:
    """Collects the requests in the bytes of a connection, in their order."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._requests: collections.deque[http_request.HttpRequest] = (
            collections.deque()
        )
        self._error: RequestError | None = None
        self._head_bytes = 0
        self._target = b""
        self._body = bytearray()
        self._has_host = False
        self.is_in_progress = False
        self.is_last = False

    @property
    def has_next(self) -> bool:
        """Return whether another complete request has arrived."""
        return bool(self._requests)

    def feed(self, data: bytes) -> None:
        """Read received bytes; what follows a malformed request is ignored."""
        if self._error is not None or self.is_last:
            return
        if self.is_in_progress:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.is_last = True
        except httptools.HttpParserError as exc:
            cause = exc.__context__
            if isinstance(cause, RequestError):
                self._error = cause
            else:
                self._error = RequestError(400, str(exc))
        if self._head_bytes > MAX_HEAD_BYTES and self._error is None:
            self._error = RequestError(431, "headers too large")

    def take(self) -> http_request.HttpRequest | None:
        """Remove and return the next complete request, None if there is none.

        Raises
        ------
        RequestError
            If the next request is malformed or too large.
        """
        if self._requests:
            return self._requests.popleft()
        if self._error is not None:
            raise self._error
        return None

    # Calls of the library

    def on_message_begin(self) -> None:
        """Start a request."""
        self.is_in_progress = True
        self._target = b""
        self._body = bytearray()
        self._head_bytes = 0
        self._has_host = False

    def on_url(self, url: bytes) -> None:
        """Add a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Check one header."""
        self._has_host = self._has_host or name.lower() == b"host"

    def on_headers_complete(self) -> None:
        """Check the head; HTTP/1.1 requires the header `Host`."""
        self._head_bytes = 0
        if self._parser.get_http_version() == "1.1" and not self._has_host:
            raise RequestError(400, "no Host header")

    def on_body(self, body: bytes) -> None:
        """Add a part of the body; bytes without any are those of head or trailer."""
        self._head_bytes = 0
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            raise RequestError(413, "body too large")

    def on_message_complete(self) -> None:
        """Add the complete request."""
        self._head_bytes = 0
        self.is_in_progress = False
        self.is_last = not self._parser.should_keep_alive()
        method = self._parser.get_method().decode("ascii", "replace")
        path = self._target.decode("ascii", "replace").partition("?")[0]
        self._requests.append(http_request.HttpRequest(method, path, bytes(self._body)))
