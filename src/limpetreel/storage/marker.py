"""Marker file of an initialised data folder."""

from __future__ import annotations

import msgspec

from limpetreel.consensus import member


class Marker(msgspec.Struct, frozen=True):
    """Written once, as the last step of the creation of a data folder.

    Attributes
    ----------
    name : str
        Name of the instance.
    incarnation : int
        Number of the data folder.
    members : tuple of Member
        First members of a new group; empty for an instance that joins one.
    folder : int
        Number that no other data folder has.
    """

    name: str
    incarnation: int
    members: tuple[member.Member, ...]
    folder: int = 0
