"""Range of UDP ports."""

from __future__ import annotations

import msgspec


class PortRange(msgspec.Struct, frozen=True):
    """Ports from the first to the last, both included.

    Attributes
    ----------
    first, last : int
        Ports, 1 to 65535.
    """

    first: int
    last: int

    def __str__(self) -> str:
        """Return the text form of the setting."""
        return f"{self.first}-{self.last}"
