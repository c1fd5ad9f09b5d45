"""View of one class of a table for the flow router."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limpetreel.catalog import member_state
from limpetreel.flows import class_member

if TYPE_CHECKING:
    from limpetreel.assignment import assignments
    from limpetreel.catalog import class_record, table


class ClassView(msgspec.Struct, frozen=True):
    """Members of a class and the two agents of each of its buckets.

    Attributes
    ----------
    class_id : int
        Number of the class.
    revision : int
        Revision of the table.
    members : tuple of ClassMember
        Members in any state.
    candidates : tuple of (int, int)
        Node ids of primary and backup by bucket; 0 if there is none.
    has_departed : bool
        True if the table holds a lost or removed member of the class. Such a
        member may have run requests that no other agent has a record of.
    """

    class_id: int
    revision: int
    members: tuple[class_member.ClassMember, ...]
    candidates: tuple[tuple[int, int], ...]
    has_departed: bool

    def member(self, node_id: int) -> class_member.ClassMember | None:
        """Return a member in any state, or None."""
        return next((m for m in self.members if m.node_id == node_id), None)


def from_table(
    records: table.Table,
    record: class_record.ClassRecord,
    assigned: assignments.Assignments,
) -> ClassView:
    """Return the view of one class of a table.

    Parameters
    ----------
    records : Table
        The table.
    record : ClassRecord
        The class.
    assigned : Assignments
        Assignments computed from the same table.
    """
    members = tuple(
        class_member.ClassMember(
            m.node_id,
            m.incarnation,
            m.state,
            m.region,
            m.modified,
            records.is_zone_serving(m.zone),
            m.returned,
        )
        for m in records.agents_of(record.name)
    )
    lost = any(m.state is member_state.MemberState.LOST for m in members)
    removed = any(
        r.removed and getattr(r, "class_name", "") == record.name
        for r in records.records.values()
    )
    assignment = assigned.for_class(record.class_id)
    candidates = assignment.node_ids() if assignment is not None else ()
    return ClassView(
        record.class_id, records.revision, members, candidates, lost or removed
    )
