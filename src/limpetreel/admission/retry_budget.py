"""Retry budget as a percentage of recent requests."""

from __future__ import annotations

import collections

WINDOW_SECONDS = 10
RETRY_PERCENT = 10


class RetryBudget:
    """Limits retries to `RETRY_PERCENT` of the requests of the last `WINDOW_SECONDS`.

    Requests and retries are counted by second.
    """

    def __init__(self) -> None:
        self._requests: collections.deque[tuple[int, int]] = collections.deque()
        self._retries: collections.deque[tuple[int, int]] = collections.deque()

    def record_request(self, now: float) -> None:
        """Count a request that is not a retry."""
        _increment(self._requests, int(now))

    def try_spend(self, now: float) -> bool:
        """Count a retry if the budget allows one; return whether it does."""
        second = int(now)
        allowed = RETRY_PERCENT * _total(self._requests, second)
        if 100 * (_total(self._retries, second) + 1) > allowed:
            return False
        _increment(self._retries, second)
        return True


def _increment(counts: collections.deque[tuple[int, int]], second: int) -> None:
    if counts and counts[-1][0] == second:
        counts[-1] = (second, counts[-1][1] + 1)
    else:
        counts.append((second, 1))
    _expire(counts, second)


def _total(counts: collections.deque[tuple[int, int]], second: int) -> int:
    _expire(counts, second)
    return sum(count for _, count in counts)


def _expire(counts: collections.deque[tuple[int, int]], second: int) -> None:
    while counts and counts[0][0] <= second - WINDOW_SECONDS:
        counts.popleft()
