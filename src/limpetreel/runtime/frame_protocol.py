"""Length-prefixed messages over a TCP connection."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_UNSENT_BYTES = 8 * 1024 * 1024
"""Bytes buffered for a slow peer before its connection is aborted."""
USER_TIMEOUT_MS = 1500
"""Time without acknowledgement of sent data after which TCP ends a connection; control
instances and nodes regard a connection as lost after 1.2 s without data."""

OnFrame = Callable[["FrameProtocol", bytes], None]
OnEnd = Callable[["FrameProtocol"], None]


class FrameProtocol(asyncio.Protocol):
    """One end of a connection.

    Parameters
    ----------
    on_frame : callable
        Called with the protocol and each message.
    on_end : callable
        Called with the protocol once the connection has ended.

    Attributes
    ----------
    is_open : bool
        Whether the connection is established.
    received_at : float
        Time of the event loop at which data was last received.
    session_id : int
        Id that the user of the connection sets; 0 if none is set.
    remote : str
        Address that the user of the connection sets, at which the process at the other
        end accepts connections; empty if it is not known.
    """

    def __init__(self, on_frame: OnFrame, on_end: OnEnd) -> None:
        self._on_frame = on_frame
        self._on_end = on_end
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self.is_open = False
        self.received_at = 0.0
        self.session_id = 0
        self.remote = ""

    @property
    def peer(self) -> str:
        """Return the address of the other end, empty if it is not connected."""
        if self._transport is None:
            return ""
        name = self._transport.get_extra_info("peername")
        return f"{name[0]}:{name[1]}" if name else ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.is_open = True
        self.received_at = asyncio.get_running_loop().time()
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)

    def data_received(self, data: bytes) -> None:
        """Pass complete messages to the `on_frame` callback."""
        self.received_at = asyncio.get_running_loop().time()
        buffer = self._buffer
        buffer += data
        while len(buffer) >= LENGTH_BYTES:
            size = int.from_bytes(buffer[:LENGTH_BYTES], "big")
            if size > MAX_FRAME_BYTES:
                self.abort()
                return
            end = LENGTH_BYTES + size
            if len(buffer) < end:
                return
            frame = bytes(buffer[LENGTH_BYTES:end])
            del buffer[:end]
            self._on_frame(self, frame)

    def connection_lost(self, exc: Exception | None) -> None:
        """Call the `on_end` callback."""
        self.is_open = False
        self._on_end(self)

    def send(self, *messages: bytes) -> bool:
        """Send messages; return False if the connection is closed or overloaded."""
        if not self.is_open or self._transport is None:
            return False
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()
            return False
        frames = [len(m).to_bytes(LENGTH_BYTES, "big") + m for m in messages]
        self._transport.write(b"".join(frames))
        return True

    def close(self) -> None:
        """Close the connection after sending the buffered data."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once and discard buffered data."""
        if self._transport is not None:
            self._transport.abort()
