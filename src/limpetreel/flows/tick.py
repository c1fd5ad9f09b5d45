"""Event: time has passed."""

from __future__ import annotations

import msgspec


class Tick(msgspec.Struct, frozen=True, tag="tick"):
    """Sent by the shell at least every 20 ms while work is pending."""
