"""Owner of a flow as an entry remembers it."""

from __future__ import annotations


class KnownOwner:
    """Where the packets of one flow go.

    Parameters
    ----------
    address : tuple of (str, int)
        Address of the agent.
    now : float
        Time of the packet that led to it.
    """

    __slots__ = ("address", "last_at")

    def __init__(self, address: tuple[str, int], now: float) -> None:
        self.address = address
        self.last_at = now
