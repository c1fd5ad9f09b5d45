"""Connections to other control instances."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from limpetreel.runtime import frame_protocol

if TYPE_CHECKING:
    from collections.abc import Callable

RECEIVE_TIMEOUT_SECONDS = 1.0
"""Ten heartbeats without data, after which a new connection is opened."""
CONNECT_SECONDS = 0.8
RETRY_SECONDS = 0.1


class ControlLinks:
    """Sends to other control instances; each replies on its own connection.

    Parameters
    ----------
    hello : bytes
        First message on each connection.
    """

    def __init__(self, hello: bytes) -> None:
        self._hello = hello
        self._links: dict[str, frame_protocol.FrameProtocol] = {}
        self._connecting: dict[str, asyncio.Task[None]] = {}
        self._attempted_at: dict[str, float] = {}
        self._received_at: dict[str, float] = {}
        self.on_change: Callable[[str, bool], None] = lambda address, is_up: None
        self.lost = 0

    def record_receipt(self, address: str) -> None:
        """Record that an instance has sent data on its own connection."""
        self._received_at[address] = asyncio.get_running_loop().time()

    def send(self, address: str, data: bytes) -> None:
        """Send a message; it is dropped without a connection, as the core retries."""
        now = asyncio.get_running_loop().time()
        link = self._links.get(address)
        if link is not None and link.is_open:
            received_at = self._received_at.get(address, 0.0)
            if (
                now - max(received_at, self._attempted_at[address])
                < RECEIVE_TIMEOUT_SECONDS
            ):
                link.send(data)
                return
            # A middlebox may have dropped its state of the connection.
            link.abort()
        self.lost += 1
        is_due = now - self._attempted_at.get(address, 0.0) >= RETRY_SECONDS
        if address not in self._connecting and is_due:
            self._attempted_at[address] = now
            task = asyncio.create_task(self._connect(address, data))
            self._connecting[address] = task

    def close(self) -> None:
        """Close all connections."""
        for task in self._connecting.values():
            task.cancel()
        for link in self._links.values():
            link.close()

    async def _connect(self, address: str, first: bytes) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        link = frame_protocol.FrameProtocol(lambda link, data: None, self._remove_link)
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await loop.create_connection(lambda: link, host, int(port))
        except (OSError, TimeoutError):
            link.abort()
            return
        finally:
            self._connecting.pop(address, None)
        self._attempted_at[address] = loop.time()
        old = self._links.get(address)
        if old is not None:
            old.abort()
        self._links[address] = link
        link.send(self._hello)
        link.send(first)
        self.on_change(address, True)

    def _remove_link(self, link: frame_protocol.FrameProtocol) -> None:
        for address, current in list(self._links.items()):
            if current is link:
                with contextlib.suppress(KeyError):
                    del self._links[address]
                self.on_change(address, False)
