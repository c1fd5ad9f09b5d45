"""Outcomes of a command."""

from __future__ import annotations

import enum


class Status(enum.StrEnum):
    """Outcome of a log entry or of an operator request.

    A conflict means that another command changed the record first. A refused
    command is valid but its effect is not allowed. A rejected request is not
    valid in itself and never reaches the log.
    """

    APPLIED = "applied"
    CONFLICT = "conflict"
    REFUSED = "refused"
    REJECTED = "rejected"
