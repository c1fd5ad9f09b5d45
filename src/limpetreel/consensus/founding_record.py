"""Record of the data folders of the initial members of a group."""

from __future__ import annotations

import msgspec


class FoundingRecord(msgspec.Struct, frozen=True):
    """Data folders that this instance has accepted for the initial members.

    Attributes
    ----------
    accepted : dict of str to int
        Number of the first data folder seen for each instance, by name.
    done : bool
        Whether every initial member has accepted this instance's data folder.
    """

    accepted: dict[str, int] = msgspec.field(default_factory=dict)
    done: bool = False
