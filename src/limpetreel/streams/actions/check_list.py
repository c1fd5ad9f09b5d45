"""Question about the list of upstreams."""

from __future__ import annotations

import msgspec


class CheckList(msgspec.Struct, frozen=True, tag="check_list"):
    """Ask control whether the list of upstreams is complete now."""
