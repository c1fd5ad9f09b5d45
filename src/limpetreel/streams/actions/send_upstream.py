"""Packet to the upstream."""

from __future__ import annotations

import msgspec


class SendUpstream(msgspec.Struct, frozen=True, tag="send_upstream"):
    """Send a packet to the upstream beside the agent.

    Attributes
    ----------
    data : bytes
        The packet.
    """

    data: bytes
