"""Decoding of the table that control returns to operators."""

from __future__ import annotations

from typing import Any

import msgspec

from limpetreel.catalog import (
    class_record,
    member_record,
    record,
    table,
    zone_record,
)
from limpetreel.core import failure, reason

_RECORD_TYPES = {
    "class": class_record.ClassRecord,
    "zone": zone_record.ZoneRecord,
    "member": member_record.MemberRecord,
}


def read(answer: dict[str, Any]) -> table.Table | failure.Failure:
    """Return the table of an answer to the request ``table``.

    Parameters
    ----------
    answer : dict
        Revision and records, each with its record type under ``type``.
    """
    try:
        records = [_record(fields) for fields in answer["records"]]
        revision = int(answer["revision"])
    except (KeyError, TypeError, ValueError) as exc:
        return failure.Failure(
            reason.Reason.MALFORMED, "operator.table", detail=str(exc)
        )
    result = table.Table()
    result.replace(records, revision, 0)
    return result


def _record(fields: dict[str, Any]) -> record.Record:
    record_type = _RECORD_TYPES[fields["type"]]
    # Records decode from arrays, so the values must be in the order of the fields.
    values = [fields[n] for n in record_type.__struct_fields__ if n in fields]
    return msgspec.convert([fields["type"], *values], record_type)
