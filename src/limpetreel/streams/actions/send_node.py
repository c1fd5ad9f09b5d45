"""Datagram to another node."""

from __future__ import annotations

import msgspec


class SendNode(msgspec.Struct, frozen=True, tag="send_node"):
    """Send a message between an entry and an agent.

    Attributes
    ----------
    address : tuple of (str, int)
        Address of the receiver.
    data : bytes
        The encoded message.
    """

    address: tuple[str, int]
    data: bytes
