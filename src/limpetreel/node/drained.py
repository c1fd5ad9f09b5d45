"""Completion of a drain."""

from __future__ import annotations

import msgspec


class Drained(msgspec.Struct, frozen=True, tag="drained"):
    """The core has no work left, so the process may exit."""
