"""New connection of a node."""

from __future__ import annotations

import msgspec


class NodeConnected(msgspec.Struct, frozen=True, tag="node_connected"):
    """An entry or agent has connected.

    Attributes
    ----------
    session_id : int
        Number of the connection.
    name : str
        Name of the node.
    wants_upstreams : bool
        Whether it needs the list of upstreams.
    """

    session_id: int
    name: str
    wants_upstreams: bool
