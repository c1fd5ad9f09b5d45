"""End of a planned stop."""

from __future__ import annotations

import msgspec


class Drained(msgspec.Struct, frozen=True, tag="drained"):
    """The core holds no work any more; the process may end."""
