"""Command for a member that has left."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limpetreel.catalog.commands import member_event

if TYPE_CHECKING:
    from limpetreel.catalog import member_record


class MemberRemoved(member_event.MemberEvent, frozen=True, tag="member_removed"):
    """A member has left, or was lost for long enough."""

    def changed(
        self, old: member_record.MemberRecord, index: int
    ) -> member_record.MemberRecord:
        """Return the tombstone, which keeps the incarnation.

        A delayed renewal of the removed incarnation therefore cannot join again.
        """
        return msgspec.structs.replace(old, removed=True, modified=index)
