"""Heartbeat with any log entries to append."""

from __future__ import annotations

import msgspec

from limpetreel.consensus import entry, stamp


class AppendRequest(msgspec.Struct, frozen=True, tag="append_request"):
    """Sent by the leader as a heartbeat, with log entries if there are any.

    Attributes
    ----------
    term : int
        Term of the leader.
    prev_index, prev_term : int
        Index and term of the entry before the first of `entries`.
    entries : tuple of Entry
        Entries to append.
    commit : int
        The leader's commit index.
    round : int
        Heartbeat round, returned in the reply.
    echo : Stamp or None
        Stamp of the receiver's last reply that reached the leader.
    lease : float
        Remaining seconds of the leader's lease, counted from `echo`.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[entry.Entry, ...]
    commit: int
    round: int
    echo: stamp.Stamp | None = None
    lease: float = 0.0
