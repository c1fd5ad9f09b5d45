"""UDP socket that reads datagrams in batches."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

DATAGRAMS_PER_WAKEUP = 64
"""Reading a batch costs about a fifth of waking up once for each datagram."""
MAX_REMAINING = 4096
"""Datagrams read at a stop; the buffer of the kernel holds about 3,500 packets."""
RECEIVE_BYTES = 65535
BUFFER_BYTES = 4 * 1024 * 1024

Handler = Callable[[bytes, tuple[str, int]], None]


class UdpSocket:
    """A non-blocking IPv4 UDP socket on the event loop.

    Parameters
    ----------
    handler : callable
        Called with each datagram and its source address.
    host : str
        IP address to bind.
    port : int
        Port to bind; 0 selects any free port.
    connect : tuple of (str, int) or None
        Address of the only peer; None for an unconnected socket.
    """

    def __init__(
        self,
        handler: Handler,
        host: str,
        port: int = 0,
        connect: tuple[str, int] | None = None,
    ) -> None:
        self._handler = handler
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        if connect is None:
            # The kernel has to buffer bursts of packets until the process reads them.
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        try:
            self._sock.bind((host, port))
            if connect is not None:
                self._sock.connect(connect)
        except OSError:
            self._sock.close()
            raise
        self._connected = connect is not None
        self.send_errors = 0
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._sock.fileno(), self._read_batch)

    @property
    def address(self) -> tuple[str, int]:
        """Address that the socket is bound to."""
        return self._sock.getsockname()

    def send(self, data: bytes, address: tuple[str, int] | None = None) -> None:
        """Send a datagram; if the kernel rejects it, count an error and drop it."""
        try:
            if address is None:
                self._sock.send(data)
            else:
                self._sock.sendto(data, address)
        except (OSError, OverflowError, ValueError):
            # The last two are raised for an address that is not one.
            self.send_errors += 1

    def read_remaining(self) -> None:
        """Pass on the datagrams that have arrived and were not read yet."""
        self._read(MAX_REMAINING)

    def close(self) -> None:
        """Stop reading and close the socket."""
        self._loop.remove_reader(self._sock.fileno())
        self._sock.close()

    def _read_batch(self) -> None:
        self._read(DATAGRAMS_PER_WAKEUP)

    def _read(self, limit: int) -> None:
        for _ in range(limit):
            try:
                data, address = self._sock.recvfrom(RECEIVE_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # A connected socket reports here that its peer is not listening.
                self.send_errors += 1
                return
            self._handler(data, address)
            if self._sock.fileno() < 0:
                return
