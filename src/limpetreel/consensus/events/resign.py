"""Planned leadership transfer."""

from __future__ import annotations

import msgspec


class Resign(msgspec.Struct, frozen=True, tag="resign"):
    """Make the leader ask an up-to-date voter to start an election, then follow."""
