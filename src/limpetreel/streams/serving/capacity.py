"""Estimate of the concurrent flows that the upstream can serve."""

from __future__ import annotations

import math

INITIAL_SERVICE_SECONDS = 0.05
"""Assumed service time until the first request is answered."""
INITIAL_OPENING_SECONDS = 0.008
"""Round trip to a caller that is 3 ms away, and some processing."""
OPENING_FACTOR = 4
"""Multiple of the mean after which an opening without a request is taken for one whose
caller has gone; the request of a live one follows within one round trip."""
MIN_OPENING_SECONDS, MAX_OPENING_SECONDS = 0.03, 0.15
"""Bounds of that time."""
WEIGHT = 0.1
"""Weight of a new sample in the moving averages."""


class Capacity:
    """Concurrent flows that keep all slots of the upstream busy.

    A flow occupies no slot while its caller's request is on the way, so somewhat
    more flows than slots are admitted.
    """

    def __init__(self) -> None:
        self._slots = 1
        self.service_seconds = INITIAL_SERVICE_SECONDS
        self._opening_seconds = INITIAL_OPENING_SECONDS
        self._limit = self._compute_limit()

    @property
    def slots(self) -> int:
        """Return the number of requests that the upstream processes concurrently."""
        return self._slots

    @slots.setter
    def slots(self, slots: int) -> None:
        self._slots = slots
        self._limit = self._compute_limit()

    def record_service_time(self, seconds: float) -> None:
        """Record the time from a request to the start of its answer."""
        self.service_seconds += WEIGHT * (seconds - self.service_seconds)
        self._limit = self._compute_limit()

    def record_opening_time(self, seconds: float) -> None:
        """Record the time from an opening packet to the request."""
        self._opening_seconds += WEIGHT * (seconds - self._opening_seconds)
        self._limit = self._compute_limit()

    def max_opening_seconds(self) -> float:
        """Return how long an open flow without a request occupies a slot."""
        seconds = OPENING_FACTOR * self._opening_seconds
        return min(MAX_OPENING_SECONDS, max(MIN_OPENING_SECONDS, seconds))

    def limit(self) -> int:
        """Return how many flows may be opening or working concurrently."""
        return self._limit

    def response_seconds(self) -> float:
        """Return the expected time from a request to its answer at the limit.

        It contains the wait in the upstream's own queue behind the flows that exceed
        the slots.
        """
        return self.service_seconds * self.limit() / max(1, self.slots)

    def wait_seconds(self, ahead: int) -> float:
        """Return the expected wait behind a number of flows over the limit."""
        return (ahead + 1) * self.service_seconds / max(1, self.slots)

    def _compute_limit(self) -> int:
        share = self._opening_seconds / max(self.service_seconds, 0.001)
        return self._slots + min(self._slots, max(1, math.ceil(self._slots * share)))
