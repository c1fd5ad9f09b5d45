"""Changes of the table."""

from __future__ import annotations

import msgspec

from limpetreel.catalog import class_record, member_record, zone_record


class Delta(msgspec.Struct, frozen=True, tag="delta"):
    """One part of the records that changed between two revisions.

    Attributes
    ----------
    from_revision : int
        The records changed after this revision.
    to_revision : int
        The node holds this revision once all parts are applied.
    digest : int
        Digest of the table at `to_revision`.
    part : int
        Number of this part, from 0.
    parts : int
        Number of parts.
    records : tuple of Record
        The records of this part, tombstones included.
    """

    from_revision: int
    to_revision: int
    digest: int
    part: int
    parts: int
    records: tuple[
        class_record.ClassRecord | zone_record.ZoneRecord | member_record.MemberRecord,
        ...,
    ]
