"""Assignment of the buckets of one class."""

from __future__ import annotations

import array
from typing import TYPE_CHECKING

from limpetreel.assignment import candidates, rendezvous

if TYPE_CHECKING:
    from collections.abc import Sequence

    from limpetreel.catalog import member_record

BUCKETS_PER_CLASS = 1024
_EMPTY_PAIR_INDEX = array.array("H", bytes(2 * BUCKETS_PER_CLASS))


class ClassAssignment:
    """Primary and backup of every bucket of a class, computed on first use.

    An entry holds one instance per class. Two bytes per bucket plus one object per
    pair of agents use 4 MB for 1,300 classes; one object per bucket used 74 MB.

    Parameters
    ----------
    class_id : int
        Number of the class.
    members : sequence of MemberRecord
        Members that may accept new flows.
    """

    def __init__(
        self, class_id: int, members: Sequence[member_record.MemberRecord]
    ) -> None:
        self._class_id = class_id
        self.members = tuple(sorted(members, key=lambda m: m.node_id))
        self._pair_index = _EMPTY_PAIR_INDEX[:]
        """Index into `_pairs` by bucket; 0 until the pair is computed."""
        self._pairs: list[candidates.Candidates | None] = [None]
        self._index_by_ids: dict[tuple[int, int], int] = {}
        self._node_ids: tuple[tuple[int, int], ...] | None = None

    def lookup(self, bucket: int) -> candidates.Candidates | None:
        """Return primary and backup of a bucket, or None without members."""
        pair = self._pairs[self._pair_index[bucket]]
        if pair is None and self.members:
            pair = self._compute(bucket)
        return pair

    def node_ids(self) -> tuple[tuple[int, int], ...]:
        """Return the node ids of primary and backup by bucket; 0 if there is none.

        The result is cached, since most table changes concern other classes.
        """
        if self._node_ids is None:
            pairs = (self.lookup(b) for b in range(BUCKETS_PER_CLASS))
            self._node_ids = tuple(
                (p.primary.node_id, p.backup.node_id if p.backup else 0)
                if p
                else (0, 0)
                for p in pairs
            )
        return self._node_ids

    def _compute(self, bucket: int) -> candidates.Candidates:
        ranked = sorted(
            self.members,
            key=lambda m: (
                rendezvous.cost(self._class_id, bucket, m.node_id, m.share),
                m.node_id,
            ),
        )
        primary, rest = ranked[0], ranked[1:]
        # A backup in another zone still has the copy when a whole zone fails.
        other_zones = [m for m in rest if m.zone != primary.zone]
        backup = next(iter(other_zones or rest), None)
        key = (primary.node_id, backup.node_id if backup else 0)
        index = self._index_by_ids.get(key)
        if index is None:
            index = self._index_by_ids[key] = len(self._pairs)
            self._pairs.append(candidates.Candidates(primary, backup))
        self._pair_index[bucket] = index
        pair = self._pairs[index]
        assert pair is not None
        return pair
