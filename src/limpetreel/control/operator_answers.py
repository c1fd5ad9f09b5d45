"""Answers to requests of operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limpetreel.catalog import result, table
    from limpetreel.consensus import member
    from limpetreel.control import confirmation

UNKNOWN = "unknown"
"""Status of a command whose outcome this instance does not know."""
NOT_LEADER = "not leader"
DENIED = "denied"
MALFORMED = "malformed"
OVERLOADED = "overloaded"
"""Status of a request that was not taken; nothing was done."""
REFUSED = "refused"


def command_answer(answer: result.Result) -> bytes:
    """Return the answer to a command that was applied, refused or rejected."""
    return msgspec.json.encode(answer)


def status_answer(status: str, detail: str = "") -> bytes:
    """Return an answer that states a status only.

    Parameters
    ----------
    status : str
        One of the constants of this module.
    detail : str
        Further text for operators.
    """
    return msgspec.json.encode({"status": status, "detail": detail})


def table_answer(
    records: table.Table,
    *,
    is_current: bool,
    leader: str,
    term: int,
    members: Iterable[member.Member],
) -> bytes:
    """Return the table.

    Parameters
    ----------
    records : Table
        The table.
    is_current : bool
        False if the table may be older than the newest accepted change.
    leader : str
        Identity of the leader, empty if unknown.
    term : int
        Term of the replicated log.
    members : iterable of Member
        Control instances.
    """
    live = [_fields(r) for r in records.records.values() if not r.removed]
    answer: dict[str, Any] = {
        "revision": records.revision,
        "current": is_current,
        "leader": leader,
        "term": term,
        "control": list(members),
        "records": live,
    }
    return msgspec.json.encode(answer)


def confirmations_answer(
    revision: int, members: Iterable[confirmation.Confirmation]
) -> bytes:
    """Return which revision each member has confirmed.

    Parameters
    ----------
    revision : int
        Revision of the table.
    members : iterable of Confirmation
        The newest renewal of each member.
    """
    return msgspec.json.encode({"revision": revision, "members": list(members)})


def _fields(record: msgspec.Struct) -> dict[str, Any]:
    kind = record.key.partition("/")[0]  # type: ignore[attr-defined]
    return {"type": kind, **msgspec.structs.asdict(record)}
