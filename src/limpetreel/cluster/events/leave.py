"""Planned stop."""

from __future__ import annotations

import msgspec


class Leave(msgspec.Struct, frozen=True, tag="leave"):
    """The process is about to stop."""
