"""Packet that an agent returns."""

from __future__ import annotations

import msgspec


class NotOwned(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Sent by an agent that does not own the flow of a packet.

    Attributes
    ----------
    packet : bytes
        The packet, unchanged.
    """

    packet: bytes
