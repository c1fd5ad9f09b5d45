"""Heartbeat with log entries."""

from __future__ import annotations

import msgspec

from limpetreel.consensus import entry, stamp


class AppendRequest(msgspec.Struct, frozen=True, tag="append_request"):
    """Sent by the leader as heartbeat, with entries if there are any.

    Attributes
    ----------
    term : int
        Term of the leader.
    prev_index, prev_term : int
        Entry before the first of `entries`.
    entries : tuple of Entry
        Entries to append.
    commit : int
        Last entry that the leader knows to be accepted.
    round : int
        Heartbeat round, echoed in the reply.
    echo : Stamp or None
        Stamp of the receiver's last reply that reached the leader.
    lease : float
        Seconds, counted from `echo`, for which the leader's lease lasts.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[entry.Entry, ...]
    commit: int
    round: int
    echo: stamp.Stamp | None = None
    lease: float = 0.0
