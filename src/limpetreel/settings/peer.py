"""Name and address of a control instance."""

from __future__ import annotations

import msgspec


class Peer(msgspec.Struct, frozen=True):
    """A control instance as other control instances reach it.

    Attributes
    ----------
    name : str
        Name of the instance.
    address : tuple of (str, int)
        Its address for other control instances.
    """

    name: str
    address: tuple[str, int]

    @property
    def place(self) -> str:
        """Address as ``IP:PORT``."""
        return f"{self.address[0]}:{self.address[1]}"

    def __str__(self) -> str:
        """Return the form that the setting takes."""
        return f"{self.name}={self.place}"
