"""Stand-in for the fabric that sends each packet to a random entry."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from limpetreel.runtime import udp_socket

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

LOOPBACK = "127.0.0.1"


class Fabric:
    """Forwards packets between the public addresses of classes and the entries.

    Each caller has its own socket towards the entries, so that all entries see
    the same source address for one caller, as with a real fabric.

    Parameters
    ----------
    public_ip : str
        IP address on which the classes are reachable.
    ports : sequence of int
        Ports of the classes.
    entry_ips : sequence of str
        IP addresses of the entries.
    rng : random.Random
        Source of randomness for the choice of entries.
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
        self._caller_sockets: dict[
            tuple[int, tuple[str, int]], udp_socket.UdpSocket
        ] = {}
        self._public_sockets = {
            port: udp_socket.UdpSocket(
                functools.partial(self._forward_to_entry, port), public_ip, port
            )
            for port in ports
        }

    def close(self) -> None:
        """Close all sockets."""
        for sock in (*self._public_sockets.values(), *self._caller_sockets.values()):
            sock.close()

    def _forward_to_entry(
        self, port: int, data: bytes, caller: tuple[str, int]
    ) -> None:
        sock = self._caller_sockets.get((port, caller))
        if sock is None:
            handler = functools.partial(self._forward_to_caller, port, caller)
            sock = udp_socket.UdpSocket(handler, LOOPBACK)
            self._caller_sockets[port, caller] = sock
        sock.send(data, (self._rng.choice(self._entry_ips), port))

    def _forward_to_caller(
        self, port: int, caller: tuple[str, int], data: bytes, _: tuple[str, int]
    ) -> None:
        self._public_sockets[port].send(data, caller)
