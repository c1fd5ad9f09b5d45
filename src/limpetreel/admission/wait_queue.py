"""Short queue that is fair between callers."""

from __future__ import annotations

import bisect
import collections

from limpetreel.admission import waiting


class WaitQueue:
    """Bounded queue: first in, first out, with one turn per caller and round.

    A request is ranked by the requests that its caller already has open or
    queued. Callers with one request each are therefore served in order of
    arrival, and the further requests of a caller with many wait a round each.
    """

    def __init__(self) -> None:
        self._entries: list[waiting.Waiting] = []
        self._by_id: dict[int, waiting.Waiting] = {}
        self._by_caller: collections.Counter[int] = collections.Counter()
        self._virtual_time = 0.0
        self._sequence = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._entries)

    def __contains__(self, request_id: int) -> bool:
        """Return whether a request waits."""
        return request_id in self._by_id

    def entries(self) -> list[waiting.Waiting]:
        """Return the waiting requests in the order in which they are served."""
        return list(self._entries)

    def position(self, caller: int, open_count: int) -> int:
        """Return how many requests would be served before a new one.

        Parameters
        ----------
        caller : int
            Caller of the new request.
        open_count : int
            Open requests of the caller.
        """
        rank = self._rank(caller, open_count)
        return bisect.bisect_right(self._entries, rank, key=lambda e: e.rank)

    def put(
        self, request_id: int, caller: int, deadline_at: float, open_count: int
    ) -> None:
        """Add a request; see `position` for the parameters."""
        self._sequence += 1
        rank = self._rank(caller, open_count)
        entry = waiting.Waiting(rank, self._sequence, request_id, caller, deadline_at)
        bisect.insort(self._entries, entry)
        self._by_id[request_id] = entry
        self._by_caller[caller] += 1

    def pop(self) -> waiting.Waiting:
        """Remove and return the next request to serve."""
        entry = self._entries[0]
        active = len(self._by_caller)
        self._virtual_time = max(self._virtual_time, entry.rank) + 1.0 / active
        self._forget(entry)
        return entry

    def remove(self, request_id: int) -> waiting.Waiting | None:
        """Remove a request and return it, or None if it does not wait."""
        entry = self._by_id.get(request_id)
        if entry is not None:
            self._forget(entry)
        return entry

    def displaceable(self, caller: int) -> waiting.Waiting | None:
        """Return the request that a new one of a caller may displace, or None.

        It is the last one of the caller with the most waiting requests, if that
        has at least two more than the new request's caller.
        """
        if not self._by_caller:
            return None
        flooder, count = max(self._by_caller.items(), key=lambda item: item[1])
        if count < self._by_caller.get(caller, 0) + 2:
            return None
        return next(e for e in reversed(self._entries) if e.caller == flooder)

    def _rank(self, caller: int, open_count: int) -> float:
        return self._virtual_time + open_count + self._by_caller.get(caller, 0)

    def _forget(self, entry: waiting.Waiting) -> None:
        del self._entries[bisect.bisect_left(self._entries, entry)]
        del self._by_id[entry.request_id]
        self._by_caller[entry.caller] -= 1
        if not self._by_caller[entry.caller]:
            del self._by_caller[entry.caller]
