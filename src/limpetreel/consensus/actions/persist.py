"""Write to the log file."""

from __future__ import annotations

import msgspec

from limpetreel.consensus import entry


class Persist(msgspec.Struct, frozen=True, tag="persist"):
    """Make the term, the vote and log changes durable before the next action.

    Attributes
    ----------
    term : int
        Current term.
    vote : str
        Identity voted for in the term, empty if none.
    truncate_from : int
        Index from which entries are removed before the append; 0 for none.
    entries : tuple of Entry
        Entries to append.
    """

    term: int
    vote: str
    truncate_from: int = 0
    entries: tuple[entry.Entry, ...] = ()
