"""Transfer of a delta to a node."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from limpetreel.catalog import delta_source
from limpetreel.messages import delta_request

if TYPE_CHECKING:
    from limpetreel.catalog import peer
    from limpetreel.messages import delta


@dataclasses.dataclass
class Fetch:
    """Parts of one delta, buffered until all have arrived.

    Attributes
    ----------
    source : Peer
        Process that sends the delta. Parts of different processes are not mixed.
    revision : int
        Revision that the delta starts from; 0 for the whole table.
    scope : str
        Scope of the node.
    requested_at : float
        Time of the last request or progress, in seconds; in the future while a
        first fetch is delayed.
    attempts : int
        Requests since the last progress.
    head : Delta or None
        First part that arrived; names the delta.
    received : dict of int to bytes
        Bodies by number of part.
    """

    source: peer.Peer
    revision: int
    scope: str
    requested_at: float
    attempts: int = 0
    head: delta.Delta | None = None
    received: dict[int, bytes] = dataclasses.field(default_factory=dict)
    window_end: int = delta_source.MAX_PARTS_PER_REQUEST

    def add(self, part: delta.Delta) -> bool:
        """Add a part; return False if it is a duplicate or of another delta."""
        if part.from_revision not in (0, self.revision):
            return False
        if not 0 <= part.part < part.parts:
            return False
        if self.head is None or part.to_revision > self.head.to_revision:
            self.head = part
            self.received.clear()
        if _key(part) != _key(self.head) or part.part in self.received:
            return False
        self.received[part.part] = part.body
        self.attempts = 0
        return True

    def is_complete(self) -> bool:
        """Return whether all parts have arrived."""
        return self.head is not None and len(self.received) == self.head.parts

    def is_window_complete(self) -> bool:
        """Return whether all requested parts have arrived."""
        return all(part in self.received for part in range(self.window_end))

    def body(self) -> bytes:
        """Return the joined parts."""
        return b"".join(self.received[part] for part in range(len(self.received)))

    def requests(self) -> list[delta_request.DeltaRequest]:
        """Return requests for the next missing parts."""
        if self.head is None:
            return [self._request(0, delta_source.MAX_PARTS_PER_REQUEST, 0)]
        missing = [p for p in range(self.head.parts) if p not in self.received]
        missing = missing[: delta_source.MAX_PARTS_PER_REQUEST]
        self.window_end = missing[-1] + 1 if missing else self.head.parts
        to_revision = self.head.to_revision
        return [
            self._request(first, count, to_revision) for first, count in _runs(missing)
        ]

    def _request(
        self, part: int, count: int, to_revision: int
    ) -> delta_request.DeltaRequest:
        return delta_request.DeltaRequest(
            self.revision, part, to_revision, count, self.scope
        )


def _key(part: delta.Delta) -> tuple[int, int, int, int]:
    return part.from_revision, part.to_revision, part.digest, part.parts


def _runs(numbers: list[int]) -> list[tuple[int, int]]:
    """Return runs of consecutive numbers as (first, count)."""
    runs: list[tuple[int, int]] = []
    for number in numbers:
        if runs and sum(runs[-1]) == number:
            runs[-1] = (runs[-1][0], runs[-1][1] + 1)
        else:
            runs.append((number, 1))
    return runs
