"""Wait queue with fair queueing between callers."""

from __future__ import annotations

import bisect
import collections

from limpetreel.admission import waiting_request


class WaitQueue:
    """Serves callers round-robin, first in, first out within a round.

    A request is ranked by the number of requests that its caller already has open
    or queued. Callers with one request each are therefore served in order of
    arrival, and each further request of a caller waits for another round. The
    controller bounds the length.
    """

    def __init__(self) -> None:
        self._requests: list[waiting_request.WaitingRequest] = []
        self._by_id: dict[int, waiting_request.WaitingRequest] = {}
        self._by_caller: collections.Counter[int] = collections.Counter()
        self._virtual_time = 0.0
        self._sequence = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._requests)

    def __contains__(self, request_id: int) -> bool:
        """Return whether a request is queued."""
        return request_id in self._by_id

    def requests(self) -> list[waiting_request.WaitingRequest]:
        """Return the queued requests in the order in which they are served."""
        return list(self._requests)

    @property
    def first(self) -> waiting_request.WaitingRequest:
        """Return the next request to serve; the queue is not empty."""
        return self._requests[0]

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
        return bisect.bisect_right(self._requests, rank, key=lambda r: r.rank)

    def put(
        self, request_id: int, caller: int, deadline_at: float, open_count: int
    ) -> None:
        """Add a request; see `position` for the parameters."""
        self._sequence += 1
        rank = self._rank(caller, open_count)
        request = waiting_request.WaitingRequest(
            rank, self._sequence, request_id, caller, deadline_at
        )
        bisect.insort(self._requests, request)
        self._by_id[request_id] = request
        self._by_caller[caller] += 1

    def pop(self) -> waiting_request.WaitingRequest:
        """Remove and return the next request to serve."""
        request = self._requests[0]
        active = len(self._by_caller)
        self._virtual_time = max(self._virtual_time, request.rank) + 1.0 / active
        self._delete(request)
        return request

    def remove(self, request_id: int) -> waiting_request.WaitingRequest | None:
        """Remove a request and return it, or None if it is not queued."""
        request = self._by_id.get(request_id)
        if request is not None:
            self._delete(request)
        return request

    def find_displaceable(self, caller: int) -> waiting_request.WaitingRequest | None:
        """Return the request that a new one of a caller may displace, or None.

        It is the last request of the caller with the most queued requests, provided
        that this caller has at least two more than the caller of the new request.
        """
        if not self._by_caller:
            return None
        largest_caller, count = max(self._by_caller.items(), key=lambda pair: pair[1])
        if count < self._by_caller.get(caller, 0) + 2:
            return None
        return next(r for r in reversed(self._requests) if r.caller == largest_caller)

    def _rank(self, caller: int, open_count: int) -> float:
        return self._virtual_time + open_count + self._by_caller.get(caller, 0)

    def _delete(self, request: waiting_request.WaitingRequest) -> None:
        del self._requests[bisect.bisect_left(self._requests, request)]
        del self._by_id[request.request_id]
        self._by_caller[request.caller] -= 1
        if not self._by_caller[request.caller]:
            del self._by_caller[request.caller]
