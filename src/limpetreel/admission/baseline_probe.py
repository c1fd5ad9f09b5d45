"""Temporary reductions of the limit to measure the latency without queueing."""

from __future__ import annotations

import math

PROBE_INTERVAL_SECONDS = 12.0
"""Shorter than the age at which a baseline expires, so there is always one."""

MAX_PROBE_SECONDS = 4.0
"""Longest duration, for upstreams that answer too few requests to end it earlier."""

PROBE_RATIO = 0.7
"""Ratio of the limit during a probe to the limit otherwise.

The limiter settles at about 1.4 times the slots of the upstream, so the reduced
limit is close to the slots and costs little throughput.
"""


class BaselineProbe:
    """Lowers the limit periodically.

    Otherwise the baseline would rise under a sustained overload, since requests
    always queue inside the upstream, and the limit would rise with it.
    """

    def __init__(self) -> None:
        self._started_at = math.inf
        self._next_at = math.inf

    @property
    def active(self) -> bool:
        """Whether a probe is in progress."""
        return self._started_at < math.inf

    def reduce(self, limit: int) -> int:
        """Return the limit, reduced while a probe is in progress."""
        return max(1, int(limit * PROBE_RATIO)) if self.active else limit

    def update(self, now: float) -> bool:
        """Begin or end a probe if it is due; return whether one has begun."""
        if self.active and now >= self._started_at + MAX_PROBE_SECONDS:
            self.end(now)
        elif not self.active and now >= self._next_at:
            self._started_at = now
            return True
        return False

    def includes(self, sent_at: float) -> bool:
        """Return whether a request sent at `sent_at` belongs to the current probe."""
        return self.active and sent_at >= self._started_at

    def end(self, now: float) -> None:
        """End the current probe, if any, and schedule the next one."""
        self._started_at = math.inf
        self._next_at = now + PROBE_INTERVAL_SECONDS

    def disable(self) -> None:
        """End the current probe and schedule none, because the upstream is cold."""
        self._started_at = math.inf
        self._next_at = math.inf
