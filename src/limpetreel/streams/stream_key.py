"""Key of a flow: caller and service address as twelve bytes."""

from __future__ import annotations

import socket

SIZE = 12
"""Bytes of the caller's address and port, then of the service's."""

Address = tuple[str, int]


def caller(key: bytes) -> Address:
    """Return the caller's IP number and port."""
    return socket.inet_ntoa(key[0:4]), int.from_bytes(key[4:6], "big")


def service(key: bytes) -> Address:
    """Return the IP number and port that the caller opened the flow to."""
    return socket.inet_ntoa(key[6:10]), int.from_bytes(key[10:12], "big")


def pack(host: str, port: int) -> bytes:
    """Return an address in the form that it has inside a key."""
    return socket.inet_aton(host) + port.to_bytes(2, "big")


def text(key: bytes) -> str:
    """Return the flow as it appears in logs."""
    (a, b), (c, d) = caller(key), service(key)
    return f"{a}:{b}>{c}:{d}"
