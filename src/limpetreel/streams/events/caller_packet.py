"""Packet from a caller."""

from __future__ import annotations

import msgspec


class CallerPacket(msgspec.Struct, frozen=True, tag="caller_packet"):
    """A packet that the fabric delivered to an entry.

    Attributes
    ----------
    data : bytes
        The packet.
    """

    data: bytes
