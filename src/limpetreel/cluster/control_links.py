"""Connections to other control instances."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from limpetreel.runtime import frame_protocol

if TYPE_CHECKING:
    from collections.abc import Callable

SILENT_SECONDS = 1.0
"""Ten heartbeats; a connection whose peer is silent for so long is dialled anew."""
CONNECT_SECONDS = 0.8
RETRY_SECONDS = 0.1


class ControlLinks:
    """Sends to other control instances; each answers on a connection of its own.

    Parameters
    ----------
    greeting : bytes
        First message on each connection.
    """

    def __init__(self, greeting: bytes) -> None:
        self._greeting = greeting
        self._links: dict[str, frame_protocol.FrameProtocol] = {}
        self._dialling: dict[str, asyncio.Task[None]] = {}
        self._dialled_at: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self.on_change: Callable[[str, bool], None] = lambda address, is_up: None
        self.lost = 0

    def hear(self, address: str) -> None:
        """Note that an instance has sent something on its own connection."""
        self._heard_at[address] = asyncio.get_running_loop().time()

    def send(self, address: str, data: bytes) -> None:
        """Send a message; it is lost without a connection, the core repeats it."""
        now = asyncio.get_running_loop().time()
        link = self._links.get(address)
        if link is not None and link.is_open:
            heard_at = self._heard_at.get(address, 0.0)
            if now - max(heard_at, self._dialled_at[address]) < SILENT_SECONDS:
                link.send(data)
                return
            # Something between the two may have lost track of the connection.
            link.abort()
        self.lost += 1
        is_due = now - self._dialled_at.get(address, 0.0) >= RETRY_SECONDS
        if address not in self._dialling and is_due:
            self._dialled_at[address] = now
            task = asyncio.create_task(self._dial(address, data))
            self._dialling[address] = task

    def close(self) -> None:
        """Close all connections."""
        for task in self._dialling.values():
            task.cancel()
        for link in self._links.values():
            link.close()

    async def _dial(self, address: str, first: bytes) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        link = frame_protocol.FrameProtocol(lambda link, data: None, self._end)
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await loop.create_connection(lambda: link, host, int(port))
        except (OSError, TimeoutError):
            link.abort()
            return
        finally:
            self._dialling.pop(address, None)
        self._dialled_at[address] = loop.time()
        old = self._links.get(address)
        if old is not None:
            old.abort()
        self._links[address] = link
        link.send(self._greeting)
        link.send(first)
        self.on_change(address, True)

    def _end(self, link: frame_protocol.FrameProtocol) -> None:
        for address, known in list(self._links.items()):
            if known is link:
                with contextlib.suppress(KeyError):
                    del self._links[address]
                self.on_change(address, False)
