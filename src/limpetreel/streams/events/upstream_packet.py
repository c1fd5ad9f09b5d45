"""Packet from the upstream."""

from __future__ import annotations

import msgspec


class UpstreamPacket(msgspec.Struct, frozen=True, tag="upstream_packet"):
    """A packet that the upstream beside an agent sent or returned.

    Attributes
    ----------
    data : bytes
        The packet.
    """

    data: bytes
