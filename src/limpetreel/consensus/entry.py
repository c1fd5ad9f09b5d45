"""Entry of the replicated log."""

from __future__ import annotations

import msgspec

from limpetreel.consensus import entry_kind


class Entry(msgspec.Struct, frozen=True):
    """One entry of the replicated log.

    Attributes
    ----------
    index : int
        Position in the log, from 1.
    term : int
        Term of the leader that appended the entry.
    kind : EntryKind
        Kind of `data`.
    data : bytes
        Proposed bytes or encoded members; empty for a no-op.
    """

    index: int
    term: int
    kind: entry_kind.EntryKind
    data: bytes = b""
