"""First message on a connection."""

from __future__ import annotations

import msgspec


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Identifies the node that opened the connection.

    Attributes
    ----------
    name : str
        Name of the node.
    address : str
        Address of a control instance; empty for entries and agents.
    wants_upstreams : bool
        Whether the node needs the list of upstreams.
    """

    name: str
    address: str
    wants_upstreams: bool
