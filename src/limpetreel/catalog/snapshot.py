"""Content of a snapshot of the catalog."""

from __future__ import annotations

import msgspec

from limpetreel.catalog import class_record, first_answer, member_record, zone_record


class Snapshot(msgspec.Struct, frozen=True):
    """All replicated state after a log entry.

    Attributes
    ----------
    applied : int
        Index of the last log entry.
    revision : int
        Revision of the table.
    floor : int
        Lowest revision from which the table holds all tombstones.
    next_class_id : int
        Number of the next class.
    port_range : tuple of int
        First port, last port and lowest unused port; empty before bootstrap.
    freed_ports : tuple of int
        Ports that may be reused, the oldest release first.
    records : tuple of Record
        Records with tombstones, in order of their last change.
    answers : tuple of FirstAnswer
        Answers stored to deduplicate resent commands, oldest first.
    """

    applied: int
    revision: int
    floor: int
    next_class_id: int
    port_range: tuple[int, ...]
    freed_ports: tuple[int, ...]
    records: tuple[
        class_record.ClassRecord | zone_record.ZoneRecord | member_record.MemberRecord,
        ...,
    ]
    answers: tuple[first_answer.FirstAnswer, ...]
