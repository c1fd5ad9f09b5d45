"""Envelope of every datagram between processes of the system."""

from __future__ import annotations

import struct

import msgspec

HEADER = struct.Struct("!BBQQQQ")
VERSION = 1
TAG_BYTES = 8
MAX_BYTES = 65507
"""Largest UDP payload over IPv4."""
ANY_INCARNATION = 0


class Frame(msgspec.Struct, frozen=True):
    """A decoded and authenticated frame.

    Attributes
    ----------
    kind : int
        A `kind.Kind` value.
    sender : int
        Node id of the sender.
    incarnation : int
        Incarnation of the sender.
    target : int
        Incarnation of the intended receiver, or `ANY_INCARNATION`.
    body : bytes
        Content without header and authentication tag.
    """

    kind: int
    sender: int
    incarnation: int
    target: int
    body: bytes
