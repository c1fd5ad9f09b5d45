"""Start of a planned stop."""

from __future__ import annotations

import msgspec


class Leave(msgspec.Struct, frozen=True, tag="leave"):
    """Accept no further commands and transfer the leadership."""
