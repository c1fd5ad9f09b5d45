"""Roles of the nodes that renew with control."""

from __future__ import annotations

import enum


class Role(enum.StrEnum):
    """Role of a node."""

    ENTRY = "entry"
    AGENT = "agent"
