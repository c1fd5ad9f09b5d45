"""Packet of an open flow."""

from __future__ import annotations

import msgspec


class Carry(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Sent by an entry to the agent that owns the flow.

    Attributes
    ----------
    packet : bytes
        The packet.
    """

    packet: bytes
