"""What an instance has recorded of the first instances of its cluster."""

from __future__ import annotations

import msgspec


class FoundingRecord(msgspec.Struct, frozen=True):
    """Data folders that this instance has accepted for the first members.

    Attributes
    ----------
    accepted : dict of str to int
        Number of the first data folder seen, by name of the instance.
    done : bool
        Whether every first member has accepted the own data folder.
    """

    accepted: dict[str, int] = msgspec.field(default_factory=dict)
    done: bool = False
