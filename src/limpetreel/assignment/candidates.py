"""The two agents that a bucket is assigned to."""

from __future__ import annotations

import msgspec

from limpetreel.catalog import member_record


class Candidates(msgspec.Struct, frozen=True):
    """Primary and backup of a bucket.

    Attributes
    ----------
    primary : MemberRecord
        Agent that keeps the flow directory of the bucket.
    backup : MemberRecord or None
        Agent that keeps the second copy; None if the class has only one member.
    """

    primary: member_record.MemberRecord
    backup: member_record.MemberRecord | None
