"""Replication progress of one peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.consensus import snapshot, stamp


class Progress:
    """State that the leader keeps for one peer.

    Parameters
    ----------
    next_index : int
        Index of the next entry to send.
    """

    __slots__ = (
        "last_reply_at",
        "match_index",
        "next_index",
        "offset",
        "snapshot",
        "stamp",
        "stamp_received_at",
    )

    def __init__(self, next_index: int) -> None:
        self.next_index = next_index
        self.match_index = 0
        self.last_reply_at = float("-inf")
        self.snapshot: snapshot.Snapshot | None = None
        self.offset = 0
        self.stamp: stamp.Stamp | None = None
        self.stamp_received_at = 0.0

    def record_stamp(self, now: float, newer: stamp.Stamp) -> None:
        """Store the stamp of a reply, from which the next lease sent counts."""
        last = self.stamp
        is_same_session = last is not None and last.session == newer.session
        if last is not None and is_same_session and newer.sent_at <= last.sent_at:
            return
        self.stamp = newer
        self.stamp_received_at = now

    def record_match(self, index: int) -> None:
        """Record that the peer's log matches up to `index`."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def record_rejection(self, prev_index: int, next_index: int) -> None:
        """Lower `next_index` after the peer rejected entries after `prev_index`."""
        if prev_index <= self.match_index or prev_index >= self.next_index:
            return  # A delayed or duplicate rejection of an earlier request.
        self.next_index = max(self.match_index + 1, min(prev_index, next_index))

    def begin_snapshot(self, to_send: snapshot.Snapshot) -> None:
        """Send a snapshot before further entries."""
        self.snapshot = to_send
        self.offset = 0

    def end_snapshot(self) -> None:
        """Continue with entries after the snapshot."""
        self.snapshot = None
        self.next_index = self.match_index + 1
