"""Answer to a part of a snapshot."""

from __future__ import annotations

import msgspec


class SnapshotReply(msgspec.Struct, frozen=True, tag="snapshot_reply"):
    """Answer to `SnapshotChunk`.

    Attributes
    ----------
    term : int
        Term of the replying instance.
    index : int
        Last entry that the snapshot includes.
    offset : int
        Position from which the sender should go on.
    round : int
        Heartbeat round of the chunk.
    """

    term: int
    index: int
    offset: int
    round: int
