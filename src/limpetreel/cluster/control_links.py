"""Connections to other control instances."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from limpetreel.runtime import frame_protocol

if TYPE_CHECKING:
    from collections.abc import Callable

RECEIVE_TIMEOUT_SECONDS = 1.0
"""Time without data from an instance after which a new connection is opened."""
KEEP_ALIVE_SECONDS = 0.4
"""Time without data for an instance after which it is answered, so that neither end
takes the other one for lost."""
MIN_CONNECT_SECONDS = 0.1
MAX_CONNECT_SECONDS = 0.8
"""Bounds of the time limit of a dial, which doubles with each one in vain. A machine
without power never answers, and the next dial should follow soon after its return."""
RETRY_SECONDS = 0.1
MAX_HELD_MESSAGES = 8
"""Messages to one instance that wait for the end of a dial."""


class ControlLinks:
    """Sends to other control instances.

    Each instance dials the others. Until its own dial has succeeded it answers on the
    connection that the other one has opened.

    Parameters
    ----------
    hello : bytes
        First message on each connection.
    alive : bytes
        Message to an instance that has sent data and has not been sent any.
    on_frame : callable
        Called with the connection and each message that arrives on a dialled one.
    """

    def __init__(
        self, hello: bytes, alive: bytes, on_frame: frame_protocol.OnFrame
    ) -> None:
        self._hello = hello
        self._alive = alive
        self._on_frame = on_frame
        self._dialled: dict[str, frame_protocol.FrameProtocol] = {}
        self._accepted: dict[str, frame_protocol.FrameProtocol] = {}
        self._dials: dict[str, asyncio.Task[None]] = {}
        self._held: dict[str, list[bytes]] = {}
        self._connect_seconds: dict[str, float] = {}
        self._attempted_at: dict[str, float] = {}
        self._received_at: dict[str, float] = {}
        self._sent_at: dict[str, float] = {}
        self.on_change: Callable[[str, bool], None] = lambda address, is_up: None
        self.lost = 0

    def accept(self, link: frame_protocol.FrameProtocol) -> None:
        """Use a connection that another instance has opened."""
        self._accepted[link.remote] = link

    def record_receipt(self, address: str) -> None:
        """Record that an instance has sent data, and answer it if nothing else does."""
        now = asyncio.get_running_loop().time()
        self._received_at[address] = now
        if now - self._sent_at.get(address, float("-inf")) >= KEEP_ALIVE_SECONDS:
            self.send(address, self._alive)

    def send(self, address: str, *messages: bytes) -> None:
        """Send messages; they are dropped without a connection, as the core retries."""
        now = asyncio.get_running_loop().time()
        self._sent_at[address] = now
        link = self._dialled.get(address)
        if link is not None and link.is_open:
            heard_at = self._received_at.get(address, 0.0)
            age = now - max(heard_at, self._attempted_at[address])
            if age < RECEIVE_TIMEOUT_SECONDS:
                link.send(*messages)
                return
            # A middlebox may have dropped its state of the connection.
            link.abort()
        self._dial(now, address)
        accepted = self._accepted.get(address)
        if accepted is not None and accepted.is_open:
            accepted.send(*messages)
            return
        held = self._held.get(address)
        if held is not None and len(held) + len(messages) <= MAX_HELD_MESSAGES:
            held.extend(messages)
        else:
            self.lost += len(messages)

    def close(self) -> None:
        """Close all connections."""
        for task in self._dials.values():
            task.cancel()
        for link in self._dialled.values():
            link.close()

    def _dial(self, now: float, address: str) -> None:
        is_due = now - self._attempted_at.get(address, 0.0) >= RETRY_SECONDS
        if address not in self._dials and is_due:
            self._attempted_at[address] = now
            self._held[address] = []
            self._dials[address] = asyncio.create_task(self._connect(address))

    async def _connect(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        link = frame_protocol.FrameProtocol(self._on_frame, self._remove_link)
        link.remote = address
        limit = self._connect_seconds.get(address, MIN_CONNECT_SECONDS)
        try:
            async with asyncio.timeout(limit):
                await loop.create_connection(lambda: link, host, int(port))
        except (OSError, TimeoutError, ValueError, OverflowError):
            # The last two are raised for an address that a peer has given wrongly.
            link.abort()
            self._connect_seconds[address] = min(MAX_CONNECT_SECONDS, 2 * limit)
            return
        finally:
            self._dials.pop(address, None)
            held = self._held.pop(address, [])
        self._connect_seconds.pop(address, None)
        self._attempted_at[address] = loop.time()
        old = self._dialled.get(address)
        if old is not None:
            old.abort()
        self._dialled[address] = link
        link.send(self._hello, *held)
        self.on_change(address, True)

    def _remove_link(self, link: frame_protocol.FrameProtocol) -> None:
        if self._dialled.get(link.remote) is link:
            del self._dialled[link.remote]
            self.on_change(link.remote, False)
