"""Parser of plain HTTP requests, as clients of the platform send them."""

from __future__ import annotations

import msgspec

from limpetreel.runtime import http_request

_HEAD_END = b"\r\n\r\n"
_METHODS = ("GET", "POST")
_UNUSUAL_HEADERS = frozenset(("expect", "transfer-encoding", "upgrade"))
_MAX_LENGTH_DIGITS = 7
_MAX_HEAD_BYTES = 8192


class Incomplete(msgspec.Struct, frozen=True):
    """The end of the request has not been received."""


class PlainRequest(msgspec.Struct, frozen=True):
    """A complete request.

    Attributes
    ----------
    request : HttpRequest
        The request.
    rest : bytes
        Data after the request.
    is_last : bool
        Whether the client asks to close the connection after the response.
    """

    request: http_request.HttpRequest
    rest: bytes
    is_last: bool


def parse(data: bytes) -> PlainRequest | Incomplete | None:
    """Return the request at the start of the data.

    None stands for any request that is not plain, also a malformed one. Those are left
    to the protocol library, whose import takes a tenth of the time to start a process.

    Parameters
    ----------
    data : bytes
        What the client has sent since the end of the last request.
    """
    end = data.find(_HEAD_END)
    if end < 0:
        return Incomplete() if _can_become_plain(data) else None
    first, *lines = data[:end].decode("latin-1").split("\r\n")
    words = first.split(" ")
    headers = _parse_headers(lines)
    if headers is None or len(words) != 3 or not _is_plain(first):
        return None
    method, target, version = words
    if version != "HTTP/1.1" or method not in _METHODS or not target:
        return None
    length = headers.get("content-length", "0")
    option = headers.get("connection", "keep-alive").lower()
    if not length.isdecimal() or len(length) > _MAX_LENGTH_DIGITS:
        return None
    if option not in ("keep-alive", "close") or "host" not in headers:
        return None
    size = end + len(_HEAD_END) + int(length)
    if len(data) < size:
        return Incomplete()
    path = target.partition("?")[0]
    body = data[end + len(_HEAD_END) : size]
    req = http_request.HttpRequest(method, path, body)
    return PlainRequest(req, data[size:], option == "close")


def _can_become_plain(data: bytes) -> bool:
    if len(data) > _MAX_HEAD_BYTES or data.count(b"\n") > data.count(b"\r\n"):
        return False
    return not data or data[:1].isupper()


def _parse_headers(lines: list[str]) -> dict[str, str] | None:
    """Return the headers by name in lower case, None if one is not plain."""
    headers: dict[str, str] = {}
    for line in lines:
        name, separator, value = line.partition(":")
        key = name.lower()
        if not separator or not name.replace("-", "").isalnum() or not _is_plain(line):
            return None
        if key in headers or key in _UNUSUAL_HEADERS:
            return None
        headers[key] = value.strip(" ")
    return headers


def _is_plain(line: str) -> bool:
    return line.isascii() and line.isprintable()
