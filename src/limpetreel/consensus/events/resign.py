"""Planned end of a leadership."""

from __future__ import annotations

import msgspec


class Resign(msgspec.Struct, frozen=True, tag="resign"):
    """A leader asks the most up-to-date voter to stand and becomes a follower."""
