"""Connections to other control instances."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import pynng

from limpetreel.core import failure

if TYPE_CHECKING:
    from limpetreel.wire import frame_codec

RECEIVE_TIMEOUT_SECONDS = 1.0
"""Ten heartbeats; without a message for this long, the connection is replaced."""
QUEUED_MESSAGES = 64
MAX_MESSAGE_BYTES = 8 * 1024 * 1024

Handler = Callable[[int, bytes], None]
Refuse = Callable[[str, object, str], None]


class PeerLinks:
    """Sends to and receives from other control instances over TCP.

    A device between two instances can drop the state of a connection that stays
    open on both ends. New connections still work, so an outgoing one is replaced
    when no message has arrived from its peer.

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
        refuse: Refuse = lambda step, peer, reason: None,
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
        self._received_at: dict[str, float] = {}
        self._own_prefix = _prefix(f"{listen[0]}:{listen[1]}")
        self.lost = 0

    async def receive(self) -> None:
        """Receive messages until closed."""
        while True:
            try:
                data = await self._pull.arecv()
            except pynng.Closed:
                return
            frame = self._codec.decode(data, "control")
            if isinstance(frame, failure.Failure):
                self._refuse("peer.decode", "", frame.reason)
                continue
            address, body = _split(frame.body)
            if address in self._push:
                self._received_at[address] = time.monotonic()
            self._handler(frame.kind, body)

    def send(self, address: str, kind: int, body: bytes) -> None:
        """Send a message; dropped if the buffer is full, as the core retries."""
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
            # Messages from other peers do not show that this connection works.
            received_at = self._received_at.get(address, float("-inf"))
            alive_at = max(received_at, self._dialled_at[address])
            if now - alive_at < RECEIVE_TIMEOUT_SECONDS:
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
