"""Ranges of ports on loopback, reserved for one demonstration each."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

from limpetreel.workload import site

if TYPE_CHECKING:
    from collections.abc import Iterator

FIRST_BASE_PORT = 24000
LAST_BASE_PORT = 31000
_HOST = "127.0.0.1"


@contextlib.contextmanager
def reserve() -> Iterator[int]:
    """Reserve a range for the time of the context and return its first port.

    The processes of a site bind their ports within seconds, so a range whose ports are
    free may belong to another demonstration that has just started. Each one holds the
    last port of its range, which no process of the site uses.

    Raises
    ------
    OSError
        If all ranges are reserved or in use.
    """
    for base in range(FIRST_BASE_PORT, LAST_BASE_PORT, site.PORTS_PER_SITE):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as guard:
            try:
                guard.bind((_HOST, base + site.PORTS_PER_SITE - 1))
            except OSError:
                continue
            if all(_is_free(base + i) for i in range(site.USED_PORTS)):
                yield base
                return
    raise OSError("no free range of ports for the demonstration")


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            if kind is socket.SOCK_STREAM:
                # Connections of an earlier run may still wait for their end.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((_HOST, port))
            except OSError:
                return False
    return True
