"""Name and address of a control instance."""

from __future__ import annotations

import msgspec


class Peer(msgspec.Struct, frozen=True):
    """A control instance and its address for other control instances.

    Attributes
    ----------
    name : str
        Name of the instance.
    address : tuple of (str, int)
        Address on which it serves other control instances.
    """

    name: str
    address: tuple[str, int]

    @property
    def host_port(self) -> str:
        """Address as ``IP:PORT``."""
        return f"{self.address[0]}:{self.address[1]}"

    def __str__(self) -> str:
        """Return the text form of the setting."""
        return f"{self.name}={self.host_port}"
