"""State that an instance recovers from its disk."""

from __future__ import annotations

import msgspec

from limpetreel.consensus import entry, founding_record, member, snapshot


class DurableState(msgspec.Struct, frozen=True):
    """State with which a Raft core starts.

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
        Latest snapshot.
    entries : tuple of Entry
        Log entries after the snapshot.
    folder : int
        Unique number of the data folder; also differs from that of an earlier folder
        with the same incarnation.
    founders : tuple of Member
        Initial members of a new group; empty for an instance that joined one.
    founding : FoundingRecord
        Data folders accepted for the other initial members.
    """

    name: str
    incarnation: int
    term: int
    vote: str
    snapshot: snapshot.Snapshot
    entries: tuple[entry.Entry, ...] = ()
    folder: int = 0
    founders: tuple[member.Member, ...] = ()
    founding: founding_record.FoundingRecord = founding_record.FoundingRecord()
