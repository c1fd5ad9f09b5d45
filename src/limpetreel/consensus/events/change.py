"""Kinds of membership changes."""

from __future__ import annotations

import enum


class Change(enum.StrEnum):
    """What to do with a member."""

    ADD = "add"
    REMOVE = "remove"
