"""What an instance recovers from its disk."""

from __future__ import annotations

import msgspec

from limpetreel.consensus import entry, snapshot


class DurableState(msgspec.Struct, frozen=True):
    """State with which a core starts.

    Attributes
    ----------
    name : str
        Name of the instance.
    incarnation : int
        Number of the data folder.
    term : int
        Highest term seen.
    vote : str
        Identity voted for in that term, empty if none.
    snapshot : Snapshot
        Newest snapshot.
    entries : tuple of Entry
        Log after the snapshot.
    """

    name: str
    incarnation: int
    term: int
    vote: str
    snapshot: snapshot.Snapshot
    entries: tuple[entry.Entry, ...] = ()
