"""Datagram from another node."""

from __future__ import annotations

import msgspec


class NodeDatagram(msgspec.Struct, frozen=True, tag="node_datagram"):
    """A message between an entry and an agent.

    Attributes
    ----------
    host, port : str, int
        Address of the sender.
    data : bytes
        The encoded message.
    """

    host: str
    port: int
    data: bytes
