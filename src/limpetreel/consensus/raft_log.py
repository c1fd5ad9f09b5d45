"""In-memory part of the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limpetreel.consensus import entry


class RaftLog:
    """Log entries after a base index.

    Parameters
    ----------
    base_index, base_term : int
        Index and term of the last entry that is no longer in memory.
    entries : iterable of Entry
        Entries from ``base_index + 1`` on.
    """

    def __init__(
        self, base_index: int, base_term: int, entries: Iterable[entry.Entry] = ()
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries = list(entries)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if it is not in memory."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def between(self, first: int, last: int) -> list[entry.Entry]:
        """Return the entries from `first` to `last`, both included."""
        return self._entries[first - self.base_index - 1 : last - self.base_index]

    def batch(self, first: int, max_bytes: int) -> tuple[entry.Entry, ...]:
        """Return entries from `first` on, up to `max_bytes` but at least one if any."""
        entries: list[entry.Entry] = []
        size = 0
        for index in range(first, self.last_index + 1):
            next_entry = self._entries[index - self.base_index - 1]
            size += len(next_entry.data)
            if entries and size > max_bytes:
                break
            entries.append(next_entry)
        return tuple(entries)

    def first_index_of_term(self, index: int) -> int:
        """Return the first index in memory with the same term as `index`."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def last_index_up_to_term(self, index: int, term: int) -> int:
        """Return the last index up to `index` whose term is at most `term`."""
        index = min(index, self.last_index)
        while index > self.base_index and (self.term_at(index) or 0) > term:
            index -= 1
        return index

    def append(self, entries: Iterable[entry.Entry]) -> None:
        """Add entries at the end."""
        self._entries.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at `index` and all after it."""
        del self._entries[index - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Drop entries up to `index` from memory."""
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Drop all entries and continue after the given index and term."""
        self._entries.clear()
        self.base_index = index
        self.base_term = term
