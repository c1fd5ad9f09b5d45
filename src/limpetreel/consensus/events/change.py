"""Kinds of membership changes."""

from __future__ import annotations

import enum


class Change(enum.StrEnum):
    """Operation on a member."""

    ADD = "add"
    REMOVE = "remove"
