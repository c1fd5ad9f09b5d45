"""Packet to a caller."""

from __future__ import annotations

import msgspec


class SendCaller(msgspec.Struct, frozen=True, tag="send_caller"):
    """Send a packet to a caller's machine.

    Attributes
    ----------
    host : str
        IP number of the caller.
    data : bytes
        The packet.
    """

    host: str
    data: bytes
