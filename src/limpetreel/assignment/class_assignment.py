"""Assignment of the buckets of one class."""

from __future__ import annotations

import array
from typing import TYPE_CHECKING

from limpetreel.assignment import candidates, rendezvous

if TYPE_CHECKING:
    from collections.abc import Sequence

    from limpetreel.catalog import member_record

BUCKETS_PER_CLASS = 1024
_NOT_COMPUTED = array.array("H", bytes(2 * BUCKETS_PER_CLASS))


class ClassAssignment:
    """Primary and deputy of every bucket of a class, computed on first use.

    An entry keeps this for all classes. Two bytes a bucket and one object for each
    pair of agents take 4 MB for 1,300 classes; one object a bucket took 74 MB.

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
        self._pair_of = _NOT_COMPUTED[:]
        """Index into `_pairs` by bucket; 0 until it is computed."""
        self._pairs: list[candidates.Candidates | None] = [None]
        self._index: dict[tuple[int, int], int] = {}
        self._node_ids: tuple[tuple[int, int], ...] | None = None

    def lookup(self, bucket: int) -> candidates.Candidates | None:
        """Return primary and deputy of a bucket, or None without members."""
        found = self._pairs[self._pair_of[bucket]]
        if found is None and self.members:
            found = self._compute(bucket)
        return found

    def node_ids(self) -> tuple[tuple[int, int], ...]:
        """Return the node ids of primary and deputy by bucket; 0 if there is none.

        They are kept, since most changes of the table concern other classes.
        """
        if self._node_ids is None:
            found = (self.lookup(b) for b in range(BUCKETS_PER_CLASS))
            self._node_ids = tuple(
                (f.primary.node_id, f.deputy.node_id if f.deputy else 0)
                if f
                else (0, 0)
                for f in found
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
        # A deputy in another zone keeps the copy when a whole zone is lost.
        elsewhere = [m for m in rest if m.zone != primary.zone]
        deputy = next(iter(elsewhere or rest), None)
        key = (primary.node_id, deputy.node_id if deputy else 0)
        index = self._index.get(key)
        if index is None:
            index = self._index[key] = len(self._pairs)
            self._pairs.append(candidates.Candidates(primary, deputy))
        self._pair_of[bucket] = index
        found = self._pairs[index]
        assert found is not None
        return found
