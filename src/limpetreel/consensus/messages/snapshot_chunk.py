"""Chunk of a snapshot."""

from __future__ import annotations

import msgspec

from limpetreel.consensus import member


class SnapshotChunk(msgspec.Struct, frozen=True, tag="snapshot_chunk"):
    """Sent by the leader to a peer whose next entry is no longer in its log.

    Attributes
    ----------
    term : int
        Term of the leader.
    index : int
        Last entry that the snapshot includes.
    last_term : int
        Term of that entry.
    members : tuple of Member
        Members in effect at that entry.
    offset : int
        Offset of `data` in the snapshot.
    size : int
        Size of the whole snapshot in bytes.
    data : bytes
        Bytes of the chunk.
    round : int
        Heartbeat round, returned in the reply.
    """

    term: int
    index: int
    last_term: int
    members: tuple[member.Member, ...]
    offset: int
    size: int
    data: bytes
    round: int
