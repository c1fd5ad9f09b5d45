"""IPv4 addresses in the compact form used in frames."""

from __future__ import annotations

import functools
import socket
import struct

import msgspec

_IPV4 = struct.Struct("!I")
_CACHE_ENTRIES = 65536


class Address(msgspec.Struct, frozen=True, array_like=True):
    """An IPv4 address and a UDP port.

    Attributes
    ----------
    ip : int
        IPv4 address as a 32-bit number.
    port : int
        UDP port.
    """

    ip: int
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        host, port = to_socket(self)
        return f"{host}:{port}"


@functools.lru_cache(maxsize=_CACHE_ENTRIES)
def from_socket(pair: tuple[str, int]) -> Address:
    """Convert a socket address, ``(host, port)``, to an `Address`."""
    return Address(_IPV4.unpack(socket.inet_aton(pair[0]))[0], pair[1])


@functools.lru_cache(maxsize=_CACHE_ENTRIES)
def to_socket(addr: Address) -> tuple[str, int]:
    """Convert an `Address` to a socket address, ``(host, port)``."""
    return socket.inet_ntoa(_IPV4.pack(addr.ip)), addr.port
