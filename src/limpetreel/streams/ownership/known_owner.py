"""Owner of a flow as known to an entry."""

from __future__ import annotations


class KnownOwner:
    """Agent to which the packets of one flow are sent.

    Parameters
    ----------
    address : tuple of (str, int)
        Address of the agent.
    now : float
        Time at which the owner became known.
    """

    __slots__ = ("address", "last_at")

    def __init__(self, address: tuple[str, int], now: float) -> None:
        self.address = address
        self.last_at = now
