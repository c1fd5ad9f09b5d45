"""Openings of one route that wait although they may miss their latency target."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.streams.serving import waiting_opening


class LateLane:
    """Serves the latest arrival first.

    It alone may still be answered in time. In order of arrival, every caller would wait
    for as long as the backlog lasts, and all would be late.
    """

    def __init__(self) -> None:
        self._items: dict[int, waiting_opening.WaitingOpening] = {}

    def __len__(self) -> int:
        """Return the number of openings."""
        return len(self._items)

    @property
    def first(self) -> waiting_opening.WaitingOpening:
        """Return the opening that is served next."""
        return next(reversed(self._items.values()))

    def put(self, item: waiting_opening.WaitingOpening) -> None:
        """Add an opening; its number tells the order of arrival."""
        self._items[item.number] = item

    def pop(self) -> waiting_opening.WaitingOpening:
        """Remove and return the next opening."""
        return self._items.pop(self.first.number)

    def remove(self, item: waiting_opening.WaitingOpening) -> None:
        """Remove an opening that is not served."""
        self._items.pop(item.number, None)
