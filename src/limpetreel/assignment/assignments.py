"""Cache of the bucket assignments of all classes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.assignment import class_assignment
from limpetreel.catalog import class_record, member_record, member_state, table

if TYPE_CHECKING:
    from limpetreel.assignment import candidates


class Assignments:
    """Computes the assignment of each class on demand and caches it.

    An assignment is dropped when the eligible members of its class change.

    Parameters
    ----------
    records : Table
        Table of this node.
    """

    def __init__(self, records: table.Table) -> None:
        self._table = records
        self._revision = -1
        self._members: dict[int, tuple[member_record.MemberRecord, ...]] = {}
        self._by_class: dict[int, class_assignment.ClassAssignment] = {}

    def lookup(self, class_id: int, bucket: int) -> candidates.Candidates | None:
        """Return primary and backup of a bucket, or None if no agent may serve it."""
        assignment = self.for_class(class_id)
        return assignment.lookup(bucket) if assignment is not None else None

    def for_class(self, class_id: int) -> class_assignment.ClassAssignment | None:
        """Return the assignment of a class, or None if the class does not exist."""
        if self._table.revision != self._revision:
            self._refresh()
        assignment = self._by_class.get(class_id)
        if assignment is None:
            record = self._table.class_by_id(class_id)
            if record is None:
                return None
            members = eligible_members(self._table, record)
            assignment = class_assignment.ClassAssignment(class_id, members)
            self._by_class[class_id] = assignment
        return assignment

    def _refresh(self) -> None:
        """Drop the assignments of classes whose eligible members have changed."""
        self._revision = self._table.revision
        for class_id, cached in list(self._by_class.items()):
            record = self._table.class_by_id(class_id)
            if (
                record is None
                or eligible_members(self._table, record) != cached.members
            ):
                del self._by_class[class_id]


def eligible_members(
    records: table.Table, record: class_record.ClassRecord
) -> tuple[member_record.MemberRecord, ...]:
    """Return the agents of a class that may accept new flows.

    Parameters
    ----------
    records : Table
        The table.
    record : ClassRecord
        The class.
    """
    return tuple(
        m
        for m in records.agents_of(record.name)
        if m.state is member_state.MemberState.ACTIVE
        and records.is_zone_serving(m.zone)
        and (not record.zones or m.zone in record.zones)
    )
