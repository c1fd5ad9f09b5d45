"""Member of the group that replicates the log."""

from __future__ import annotations

import msgspec


class Member(msgspec.Struct, frozen=True):
    """One control instance in the membership.

    Attributes
    ----------
    name : str
        Name of the instance, stable over the loss of its disk.
    incarnation : int
        Number of the data folder. An instance that lost its disk gets a higher one,
        so that votes and acknowledgements of the lost log never count again.
    address : str
        Where other instances reach it.
    voting : bool
        Whether it votes and counts towards a quorum.
    """

    name: str
    incarnation: int
    address: str
    voting: bool = True

    @property
    def identity(self) -> str:
        """Return the identity under which this member votes."""
        return identity_of(self.name, self.incarnation)


def identity_of(name: str, incarnation: int) -> str:
    """Return the identity of one data folder of an instance."""
    return f"{name}#{incarnation}"
