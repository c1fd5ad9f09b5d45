"""Timer event."""

from __future__ import annotations

import msgspec


class Tick(msgspec.Struct, frozen=True, tag="tick"):
    """Sent by the shell every 20 ms."""
