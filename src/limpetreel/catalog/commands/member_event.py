"""Base class of the commands that change an existing member."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limpetreel.catalog import member_record, result, status

if TYPE_CHECKING:
    from limpetreel.catalog import state


class MemberEvent(msgspec.Struct, frozen=True):
    """Change of one incarnation of a member.

    Attributes
    ----------
    name : str
        Name of the member.
    incarnation : int
        Incarnation that the change is meant for. A change that was proposed
        before a restart must not hit the restarted member.
    """

    name: str
    incarnation: int

    def apply(self, index: int, target: state.State) -> result.Result:
        """Change the member if it still has the incarnation."""
        old = target.table.member(self.name)
        if old is None or old.incarnation != self.incarnation:
            current = old.incarnation if old is not None else "none"
            return result.Result(
                status.Status.REFUSED,
                detail=f"{self.name} has incarnation {current}, not {self.incarnation}",
            )
        new = self.changed(old, index)
        if msgspec.structs.replace(new, modified=old.modified) != old:
            target.table.put(new)
        return result.Result(status.Status.APPLIED, index)

    def changed(
        self, old: member_record.MemberRecord, index: int
    ) -> member_record.MemberRecord:
        """Return the changed record."""
        raise NotImplementedError
