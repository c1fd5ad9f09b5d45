"""End of a connection of a node."""

from __future__ import annotations

import msgspec


class NodeDisconnected(msgspec.Struct, frozen=True, tag="node_disconnected"):
    """The connection of an entry or agent has ended.

    Attributes
    ----------
    session_id : int
        Number of the connection.
    """

    session_id: int
