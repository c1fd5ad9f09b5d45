"""Assignment of the buckets of one class."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.assignment import candidates, rendezvous

if TYPE_CHECKING:
    from collections.abc import Sequence

    from limpetreel.catalog import member_record

BUCKETS_PER_CLASS = 1024


class ClassAssignment:
    """Primary and deputy of every bucket of a class, computed on first use.

    Parameters
    ----------
    class_id : int
        Number of the class.
    members : sequence of MemberRecord
        Members that may take new flows.
    """

    def __init__(
        self, class_id: int, members: Sequence[member_record.MemberRecord]
    ) -> None:
        self._class_id = class_id
        self.members = tuple(sorted(members, key=lambda m: m.node_id))
        self._cache: list[candidates.Candidates | None] = [None] * BUCKETS_PER_CLASS
        # Buckets share the objects: one for each bucket of 1,300 classes would take
        # 64 MB in an entry.
        self._pairs: dict[tuple[int, int], candidates.Candidates] = {}

    def lookup(self, bucket: int) -> candidates.Candidates | None:
        """Return primary and deputy of a bucket, or None without members."""
        found = self._cache[bucket]
        if found is None and self.members:
            found = self._compute(bucket)
            self._cache[bucket] = found
        return found

    def _compute(self, bucket: int) -> candidates.Candidates:
        ranked = sorted(
            self.members,
            key=lambda m: (
                rendezvous.cost(self._class_id, bucket, m.node_id, m.share),
                m.node_id,
            ),
        )
        primary, rest = ranked[0], ranked[1:]
        # A deputy in another zone keeps the copy when a whole zone is lost.
        elsewhere = [m for m in rest if m.zone != primary.zone]
        deputy = next(iter(elsewhere or rest), None)
        key = primary.node_id, deputy.node_id if deputy is not None else -1
        found = self._pairs.get(key)
        if found is None:
            found = candidates.Candidates(primary, deputy)
            self._pairs[key] = found
        return found
