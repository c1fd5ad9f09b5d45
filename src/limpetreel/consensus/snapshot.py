"""Snapshot of the state machine."""

from __future__ import annotations

import msgspec

from limpetreel.consensus import member


class Snapshot(msgspec.Struct, frozen=True):
    """State after applying all entries up to an index.

    Attributes
    ----------
    index : int
        Index of the last entry that the state includes; 0 before the first entry.
    term : int
        Term of that entry.
    members : tuple of Member
        Members in effect at that entry.
    data : bytes
        Serialized state, opaque to the consensus core.
    """

    index: int
    term: int
    members: tuple[member.Member, ...]
    data: bytes = b""
