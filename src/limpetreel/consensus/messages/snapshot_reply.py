"""Reply to a snapshot chunk."""

from __future__ import annotations

import msgspec


class SnapshotReply(msgspec.Struct, frozen=True, tag="snapshot_reply"):
    """Reply to `SnapshotChunk`.

    Attributes
    ----------
    term : int
        Term of the replying instance.
    index : int
        Last entry that the snapshot includes.
    offset : int
        Offset from which the sender should continue.
    round : int
        Heartbeat round of the chunk.
    """

    term: int
    index: int
    offset: int
    round: int
