"""Log that results from the records on disk."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel import exceptions

if TYPE_CHECKING:
    from limpetreel.consensus import entry, snapshot
    from limpetreel.consensus.actions import persist


class ReplayedLog:
    """Term, vote and entries after all records read so far."""

    def __init__(self) -> None:
        self.term = 0
        self.vote = ""
        self._entries: list[entry.Entry] = []

    def replay(self, record: persist.Persist) -> None:
        """Apply the next record."""
        self.term = record.term
        self.vote = record.vote
        entries = self._entries
        if record.truncate_from and entries:
            kept = max(0, record.truncate_from - entries[0].index)
            del entries[kept:]
        for new_entry in record.entries:
            if entries and new_entry.index != entries[-1].index + 1:
                raise _gap(entries[-1].index, new_entry.index)
            entries.append(new_entry)

    def entries_after(
        self, base: snapshot.Snapshot
    ) -> tuple[tuple[entry.Entry, ...], bool]:
        """Return the entries after a snapshot and whether older ones conflict.

        A crash between the write of a received snapshot and the removal of the log
        that conflicts with it leaves both.
        """
        at_base = [e.term for e in self._entries if e.index == base.index]
        last = self._entries[-1].index if self._entries else base.index
        if last < base.index or (at_base and at_base[0] != base.term):
            return (), True
        kept = tuple(e for e in self._entries if e.index > base.index)
        if kept and kept[0].index != base.index + 1:
            raise _gap(base.index, kept[0].index)
        return kept, False


def _gap(last: int, next_index: int) -> exceptions.CorruptError:
    return exceptions.CorruptError(
        "log_store.recover", f"entry {next_index} follows entry {last}"
    )
