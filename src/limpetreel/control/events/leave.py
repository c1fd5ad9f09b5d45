"""Start of a planned stop."""

from __future__ import annotations

import msgspec


class Leave(msgspec.Struct, frozen=True, tag="leave"):
    """The instance takes no further commands and hands its leadership over."""
