"""Encoding, authentication and replay protection of frames."""

from __future__ import annotations

import hashlib
import hmac

from limpetreel.core import failure, reason
from limpetreel.wire import frame, replay_window
from limpetreel.wire import kind as kinds

_PACKET_KINDS = (kinds.Kind.FORWARD, kinds.Kind.RELAY, kinds.Kind.RETURN)

MAX_SENDERS = 16384
"""Maximum number of replay windows; well above the 5,170 nodes of the design size."""


class FrameCodec:
    """Encode and decode the frames of one node.

    Parameters
    ----------
    key : bytes
        Cluster key, shared by all processes of the system.
    node_id : int
        Id of this node.
    incarnation : int
        Incarnation of this node; frames for another incarnation are refused.
    max_bytes : int
        Maximum size of a frame; larger ones are refused.
    """

    def __init__(
        self,
        key: bytes,
        node_id: int,
        incarnation: int,
        max_bytes: int = frame.MAX_BYTES,
    ) -> None:
        # BLAKE2b takes keys of up to 64 bytes; hashing allows keys of any length.
        digest_key = hashlib.blake2b(key, digest_size=32).digest()
        self._mac = hashlib.blake2b(key=digest_key, digest_size=frame.TAG_BYTES)
        self._node_id = node_id
        self._incarnation = incarnation
        self._max_bytes = max_bytes
        self._sequence = 0
        self._windows: dict[int, replay_window.ReplayWindow] = {}
        self.rejected: dict[reason.Reason, int] = {}

    @property
    def incarnation(self) -> int:
        """Incarnation of this node."""
        return self._incarnation

    def encode(self, kind: int, target: int, body: bytes) -> bytes:
        """Return the datagram of a frame with a new sequence number.

        Parameters
        ----------
        kind : int
            A `kind.Kind` value.
        target : int
            Incarnation of the receiver, or `frame.ANY_INCARNATION`.
        body : bytes
            Content of the frame.
        """
        self._sequence += 1
        head = frame.HEADER.pack(
            frame.VERSION,
            kind,
            self._node_id,
            self._incarnation,
            self._sequence,
            target,
        )
        data = head + body
        return data + self._tag(data)

    def decode(self, data: bytes, peer: str = "") -> frame.Frame | failure.Failure:
        """Authenticate a datagram and return its frame.

        A datagram that fails a check changes no state except the counter in
        `rejected`.

        Parameters
        ----------
        data : bytes
            The datagram.
        peer : str
            Address of the sender, for the failure value.
        """
        result = self._check(data)
        if isinstance(result, reason.Reason):
            self.rejected[result] = self.rejected.get(result, 0) + 1
            return failure.Failure(result, "frame.decode", peer)
        return result

    def _tag(self, data: bytes) -> bytes:
        mac = self._mac.copy()
        mac.update(data)
        return mac.digest()

    def _check(self, data: bytes) -> frame.Frame | reason.Reason:
        if len(data) < frame.HEADER.size + frame.TAG_BYTES:
            return reason.Reason.TRUNCATED
        if len(data) > self._max_bytes:
            return reason.Reason.OVERSIZED
        if data[0] != frame.VERSION:
            return reason.Reason.WRONG_VERSION
        signed, tag = data[: -frame.TAG_BYTES], data[-frame.TAG_BYTES :]
        if not hmac.compare_digest(self._tag(signed), tag):
            return reason.Reason.WRONG_TAG
        head = frame.HEADER.unpack_from(signed)
        _, kind, sender, incarnation, sequence, target = head
        # Without a target incarnation, a packet could reach a process that reuses the
        # address and serves another class.
        if target != self._incarnation and (target or kind in _PACKET_KINDS):
            return reason.Reason.WRONG_INCARNATION
        if not self._accept_sequence(sender, incarnation, sequence):
            return reason.Reason.REPLAYED
        body = signed[frame.HEADER.size :]
        return frame.Frame(kind, sender, incarnation, target, body)

    def _accept_sequence(self, sender: int, incarnation: int, sequence: int) -> bool:
        window = self._windows.get(sender)
        if window is None or incarnation > window.incarnation:
            if window is None and len(self._windows) >= MAX_SENDERS:
                self._windows.pop(next(iter(self._windows)))
            window = replay_window.ReplayWindow(incarnation)
            self._windows[sender] = window
        elif incarnation < window.incarnation:
            return False
        return window.accept(sequence)
