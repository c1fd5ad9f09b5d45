"""Connections to other control instances."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import pynng

from limpetreel.core import failure

if TYPE_CHECKING:
    from limpetreel.wire import frame_codec

SILENT_SECONDS = 1.0
"""Ten heartbeats; a connection without a message for so long is dialled anew."""
QUEUED_MESSAGES = 64
MAX_MESSAGE_BYTES = 8 * 1024 * 1024

Handler = Callable[[int, bytes], None]
Refuse = Callable[[str, object, str], None]


class PeerLinks:
    """Sends to and receives from other control instances over TCP.

    Something between two instances can lose track of a connection that stays open
    on both ends. New connections work then, so an outgoing one is replaced when
    nothing has been heard from its peer.

    Parameters
    ----------
    codec : FrameCodec
        Codec of the frames between control instances.
    handler : callable
        Called with kind and body of each message.
    listen : tuple of (str, int)
        Own address.
    refuse : callable
        Called with step, peer and reason of a message that is dropped.
    """

    def __init__(
        self,
        codec: frame_codec.FrameCodec,
        handler: Handler,
        listen: tuple[str, int],
        refuse: Refuse = lambda step, peer, why: None,
    ) -> None:
        self._refuse = refuse
        self._codec = codec
        self._handler = handler
        url = f"tcp://{listen[0]}:{listen[1]}"
        self._pull = pynng.Pull0(
            listen=url,
            recv_max_size=MAX_MESSAGE_BYTES,
            recv_buffer_size=QUEUED_MESSAGES,
        )
        self._push: dict[str, pynng.Push0] = {}
        self._dialled_at: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._own_prefix = _prefix(f"{listen[0]}:{listen[1]}")
        self.lost = 0

    async def receive(self) -> None:
        """Take messages until closed."""
        while True:
            try:
                data = await self._pull.arecv()
            except pynng.Closed:
                return
            found = self._codec.decode(data, "control")
            if isinstance(found, failure.Failure):
                self._refuse("peer.decode", "", found.reason)
                continue
            address, body = _split(found.body)
            if address in self._push:
                self._heard_at[address] = time.monotonic()
            self._handler(found.kind, body)

    def send(self, address: str, kind: int, body: bytes) -> None:
        """Send a message; one that finds no room is lost, the core repeats it."""
        sock = self._connection(address)
        try:
            sock.send(self._codec.encode(kind, 0, self._own_prefix + body), block=False)
        except pynng.NNGException:
            self.lost += 1

    def close(self) -> None:
        """Close all connections."""
        for sock in (self._pull, *self._push.values()):
            sock.close()

    def _connection(self, address: str) -> pynng.Push0:
        now = time.monotonic()
        sock = self._push.get(address)
        if sock is not None:
            # Hearing others says nothing of this connection.
            heard_at = self._heard_at.get(address, float("-inf"))
            heard = max(heard_at, self._dialled_at[address])
            if now - heard < SILENT_SECONDS:
                return sock
            sock.close()
        sock = pynng.Push0(send_buffer_size=QUEUED_MESSAGES)
        sock.dial(f"tcp://{address}", block=False)
        self._push[address] = sock
        self._dialled_at[address] = now
        return sock


def _prefix(address: str) -> bytes:
    """Return the sender's address as it precedes the body of each message."""
    data = address.encode()
    return bytes((len(data),)) + data


def _split(data: bytes) -> tuple[str, bytes]:
    """Return the sender's address and the body of a message."""
    end = 1 + data[0] if data else 0
    return data[1:end].decode(errors="replace"), data[end:]
