"""Command for a change of a member's share."""

from __future__ import annotations

import msgspec

from limpetreel.catalog import member_record
from limpetreel.catalog.commands import member_event


class ShareChanged(member_event.MemberEvent, frozen=True, tag="share_changed"):
    """The measured capacity of an agent has changed for some time.

    Attributes
    ----------
    share : int
        New share.
    """

    share: int

    def changed(
        self, old: member_record.MemberRecord, index: int
    ) -> member_record.MemberRecord:
        """Return the record with the new share, within the limits of shares."""
        share = min(max(self.share, member_record.MIN_SHARE), member_record.MAX_SHARE)
        return msgspec.structs.replace(old, share=share, modified=index)
