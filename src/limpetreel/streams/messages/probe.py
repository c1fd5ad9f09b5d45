"""Packet that shows whether an upstream holds its flow."""

from __future__ import annotations

import msgspec


class Probe(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Sent by an entry to an agent that has started after its upstream.

    The agent forwards the packet. It answers `Holdings` once the upstream has
    returned the packet or has sent one of the same flow.

    Attributes
    ----------
    packet : bytes
        The packet.
    """

    packet: bytes
