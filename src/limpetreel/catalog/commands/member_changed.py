"""Command for a change of a member's state."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limpetreel.catalog import member_state
from limpetreel.catalog.commands import member_event

if TYPE_CHECKING:
    from limpetreel.catalog import member_record


class MemberChanged(member_event.MemberEvent, frozen=True, tag="member_changed"):
    """A member is active again, drains or is lost.

    Attributes
    ----------
    state : MemberState
        New state.
    """

    state: member_state.MemberState

    def changed(
        self, old: member_record.MemberRecord, index: int
    ) -> member_record.MemberRecord:
        """Return the record in the new state."""
        lost = member_state.MemberState.LOST
        is_return = old.state is lost and self.state is not lost
        returned = index if is_return else old.returned
        return msgspec.structs.replace(
            old, state=self.state, modified=index, returned=returned
        )
