"""Kinds of log entries."""

from __future__ import annotations

import enum


class EntryKind(enum.IntEnum):
    """Kind of the data of a log entry."""

    NOOP = 0
    DATA = 1
    MEMBERS = 2
