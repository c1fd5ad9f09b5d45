"""Parsers of setting values; each raises ValueError for a text it refuses."""

from __future__ import annotations

import ipaddress
import pathlib
import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_MIN_KEY_BYTES = 16
NAME_ALLOWED = "1 to 63 of a-z, 0-9, '.', '_' and '-', not starting with a sign"
ADDRESS_ALLOWED = "an IPv4 number and a port, such as 127.0.0.1:7000"
ADDRESSES_ALLOWED = "comma-separated IPv4 numbers with ports"
KEY_ALLOWED = f"at least {_MIN_KEY_BYTES} bytes"


def name(text: str) -> str:
    """Return a name of a node, class or zone."""
    if not _NAME.fullmatch(text):
        raise ValueError
    return text


def ip_number(text: str) -> str:
    """Return an IPv4 number."""
    return str(ipaddress.IPv4Address(text))


def address(text: str) -> tuple[str, int]:
    """Return host and port."""
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError
    return ip_number(host), number(0, 65535)(port)


def addresses(text: str) -> tuple[tuple[str, int], ...]:
    """Return several hosts and ports."""
    return tuple(address(part.strip()) for part in text.split(","))


def number(low: int, high: int) -> Callable[[str], int]:
    """Return a parser of whole numbers in a range, both ends included."""

    def parse(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError
        return value

    return parse


def seconds(low: float, high: float) -> Callable[[str], float]:
    """Return a parser of times in seconds in a range, both ends included."""

    def parse(text: str) -> float:
        value = float(text)
        if not low <= value <= high:
            raise ValueError
        return value

    return parse


def key(text: str) -> bytes:
    """Return a key."""
    if len(text.encode()) < _MIN_KEY_BYTES:
        raise ValueError
    return text.encode()


def path(text: str) -> pathlib.Path:
    """Return a path."""
    if not text:
        raise ValueError
    return pathlib.Path(text)
