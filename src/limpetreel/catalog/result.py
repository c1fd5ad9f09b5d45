"""Answer to a command."""

from __future__ import annotations

import msgspec

from limpetreel.catalog import field_difference, status


class Result(msgspec.Struct, frozen=True):
    """Answer to a log entry or to an operator request.

    Attributes
    ----------
    status : Status
        Outcome.
    revision : int
        Revision of the record after the command; for a conflict, the revision of
        the change that won; 0 if there is no record.
    command_id : str
        Id of the operator command, empty for other entries.
    detail : str
        Reason or calculation for operators.
    differences : tuple of FieldDifference
        For a conflict, the fields in which the record differs from the command.
    """

    status: status.Status
    revision: int = 0
    command_id: str = ""
    detail: str = ""
    differences: tuple[field_difference.FieldDifference, ...] = ()
