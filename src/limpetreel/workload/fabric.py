"""Stand-in for the fabric: sprays every packet over the entries at random."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from limpetreel.runtime import udp_socket

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

LOOPBACK = "127.0.0.1"


class Fabric:
    """Receives on the public addresses of classes and hands packets to entries.

    Each caller gets a socket of its own towards the entries, so that all entries
    see the same source address for one caller, as with a real fabric.

    Parameters
    ----------
    public_ip : str
        IP number of the classes' public addresses.
    ports : sequence of int
        Ports of the classes.
    entry_ips : sequence of str
        IP numbers of the entries.
    rng : random.Random
        Source of the choice of entries.
    """

    def __init__(
        self,
        public_ip: str,
        ports: Sequence[int],
        entry_ips: Sequence[str],
        rng: random.Random,
    ) -> None:
        self._entry_ips = tuple(entry_ips)
        self._rng = rng
        self._callers: dict[tuple[int, tuple[str, int]], udp_socket.UdpSocket] = {}
        self._public = {
            port: udp_socket.UdpSocket(
                functools.partial(self._from_caller, port), public_ip, port
            )
            for port in ports
        }

    def close(self) -> None:
        """Close all sockets."""
        for sock in (*self._public.values(), *self._callers.values()):
            sock.close()

    def _from_caller(self, port: int, data: bytes, caller: tuple[str, int]) -> None:
        sock = self._callers.get((port, caller))
        if sock is None:
            handler = functools.partial(self._from_entry, port, caller)
            sock = udp_socket.UdpSocket(handler, LOOPBACK)
            self._callers[port, caller] = sock
        sock.send(data, (self._rng.choice(self._entry_ips), port))

    def _from_entry(
        self, port: int, caller: tuple[str, int], data: bytes, _: tuple[str, int]
    ) -> None:
        self._public[port].send(data, caller)
