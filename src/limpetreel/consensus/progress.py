"""What a leader knows about one peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.consensus import snapshot, stamp


class Progress:
    """Replication to one peer.

    Parameters
    ----------
    next_index : int
        First entry to send.
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
        """Keep the stamp of a reply for the next lease that is passed on."""
        known = self.stamp
        same = known is not None and known.session == newer.session
        if known is not None and same and newer.sent_at <= known.sent_at:
            return
        self.stamp = newer
        self.stamp_received_at = now

    def record_match(self, index: int) -> None:
        """Note that the peer's log agrees up to `index`."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def record_rejection(self, prev_index: int, next_index: int) -> None:
        """Go back after the peer refused entries after `prev_index`."""
        if prev_index <= self.match_index or prev_index >= self.next_index:
            return  # A late or repeated refusal of a request before this one.
        self.next_index = max(self.match_index + 1, min(prev_index, next_index))

    def begin_snapshot(self, item: snapshot.Snapshot) -> None:
        """Send a snapshot before further entries."""
        self.snapshot = item
        self.offset = 0

    def end_snapshot(self) -> None:
        """Go on with entries."""
        self.snapshot = None
        self.next_index = self.match_index + 1
