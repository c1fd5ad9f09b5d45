"""Packet of a flow whose owner is not known."""

from __future__ import annotations

import msgspec


class Locate(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Sent by an entry to all agents that may own the flow.

    The owner forwards the packet and answers `Owned`; the others drop it.

    Attributes
    ----------
    packet : bytes
        The packet.
    """

    packet: bytes
