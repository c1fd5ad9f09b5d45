"""Difference between a record and what a command asked for."""

from __future__ import annotations

import msgspec


class FieldDifference(msgspec.Struct, frozen=True):
    """One field in which the record differs from the command.

    Attributes
    ----------
    field : str
        Name of the field.
    current : str
        Value in the table.
    wanted : str
        Value that the command asked for.
    """

    field: str
    current: str
    wanted: str
