"""Reading of the table that control returns to operators."""

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

_KINDS = {
    "class": class_record.ClassRecord,
    "zone": zone_record.ZoneRecord,
    "member": member_record.MemberRecord,
}


def read(answer: dict[str, Any]) -> table.Table | failure.Failure:
    """Return the table of an answer to the request ``table``.

    Parameters
    ----------
    answer : dict
        Revision and records, each with its kind under ``type``.
    """
    try:
        items = [_record(fields) for fields in answer["records"]]
        revision = int(answer["revision"])
    except (KeyError, TypeError, ValueError) as exc:
        return failure.Failure(
            reason.Reason.MALFORMED, "operator.table", detail=str(exc)
        )
    found = table.Table()
    found.replace(items, revision, 0)
    return found


def _record(fields: dict[str, Any]) -> record.Record:
    kind = _KINDS[fields["type"]]
    # Records are arrays in MessagePack, so the fields must come in their order.
    values = [fields[n] for n in kind.__struct_fields__ if n in fields]
    return msgspec.convert([fields["type"], *values], kind)
