"""Member of the Raft group."""

from __future__ import annotations

import msgspec


class Member(msgspec.Struct, frozen=True):
    """One control instance in the membership.

    Attributes
    ----------
    name : str
        Name of the instance; stays the same after the loss of its disk.
    incarnation : int
        Number of the data folder. An instance that lost its disk gets a higher one,
        so that votes and acknowledgements for the lost log are not counted.
    address : str
        Address of the instance for its peers.
    voting : bool
        Whether it votes and counts towards a quorum.
    is_durable : bool
        Whether its log is on a disk that a loss of power does not erase.
    """

    name: str
    incarnation: int
    address: str
    voting: bool = True
    is_durable: bool = True

    @property
    def identity(self) -> str:
        """Return the identity under which this member votes."""
        return identity_of(self.name, self.incarnation)


def identity_of(name: str, incarnation: int) -> str:
    """Return the identity of one data folder of an instance."""
    return f"{name}#{incarnation}"
