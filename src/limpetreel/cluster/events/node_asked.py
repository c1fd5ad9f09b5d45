"""Question of a node about the list of upstreams."""

from __future__ import annotations

import msgspec


class NodeAsked(msgspec.Struct, frozen=True, tag="node_asked"):
    """A node asks for an update that is sent after its question.

    Attributes
    ----------
    session_id : int
        Number of the connection.
    number : int
        Number of the question, which the update repeats.
    """

    session_id: int
    number: int
