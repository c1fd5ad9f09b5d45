"""Openings or requests of one route that wait for a slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.admission import wait_queue

if TYPE_CHECKING:
    from limpetreel.streams.serving import waiting

STARVATION_DIVISOR = 4
"""Part of the time limit after which a lane that got nothing goes first."""


class WaitingLane:
    """Serves callers of a route in turn, and each in order of arrival."""

    def __init__(self) -> None:
        self._order = wait_queue.WaitQueue()
        self._items: dict[int, waiting.Waiting] = {}
        self._starvation_seconds = float("inf")
        self._unserved_since: float | None = None
        self._asked_at = float("-inf")

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return len(self._items)

    def set_time_limit(self, seconds: float) -> None:
        """Set the timeout of the route."""
        self._starvation_seconds = seconds / STARVATION_DIVISOR

    @property
    def first(self) -> waiting.Waiting:
        """Return the item that is served next."""
        return self._items[self._order.first.request_id]

    def put(self, item: waiting.Waiting, running: int) -> None:
        """Add an item.

        Parameters
        ----------
        item : Waiting
            The item; its number tells the order of arrival.
        running : int
            Flows of its caller address that occupy slots.
        """
        caller = int.from_bytes(item.key[0:4], "big")
        self._order.put(item.number, caller, item.expires_at, running)
        self._items[item.number] = item
        self.record_demand(item.arrived_at)

    def pop(self, now: float) -> waiting.Waiting:
        """Remove and return the next item."""
        item = self._items.pop(self._order.pop().request_id)
        self.record_served(now)
        return item

    def remove(self, item: waiting.Waiting) -> None:
        """Remove an item that is not served."""
        if self._items.pop(item.number, None) is not None:
            self._order.remove(item.number)

    def record_demand(self, now: float) -> None:
        """Record that a slot was asked for."""
        has_paused = now - self._asked_at > self._starvation_seconds
        if self._unserved_since is None or has_paused:
            self._unserved_since = now
        self._asked_at = now

    def record_served(self, now: float) -> None:
        """Record that the route has got a slot."""
        self._unserved_since = now if self._items else None

    def is_starved(self, now: float) -> bool:
        """Return whether nothing was served for too long while slots were asked for."""
        if self._unserved_since is None:
            return False
        return now - self._unserved_since >= self._starvation_seconds
