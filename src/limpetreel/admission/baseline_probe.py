"""Short reductions of the limit that measure the latency without queueing."""

from __future__ import annotations

import math

PROBE_INTERVAL_SECONDS = 12.0
"""Shorter than the age at which a baseline is dropped, so there always is one."""

PROBE_SECONDS = 4.0
"""Longest duration, for upstreams that answer too few requests."""

PROBE_RATIO = 0.7
"""The limiter settles at about 1.4 times the slots, so this is close to the slots
and costs little throughput.
"""


class BaselineProbe:
    """Lowers the limit from time to time.

    Without it, the baseline rises under a lasting overload, since requests always
    queue inside the upstream, and the limit rises with the baseline.
    """

    def __init__(self) -> None:
        self._began = math.inf
        self._next = math.inf

    @property
    def active(self) -> bool:
        """Whether a probe is under way."""
        return self._began < math.inf

    def lowered(self, limit: int) -> int:
        """Return the limit during a probe."""
        return max(1, int(limit * PROBE_RATIO)) if self.active else limit

    def update(self, now: float) -> bool:
        """Begin or end a probe by time; return whether one has begun."""
        if self.active and now >= self._began + PROBE_SECONDS:
            self.end(now)
        elif not self.active and now >= self._next:
            self._began = now
            return True
        return False

    def counts(self, sent_at: float) -> bool:
        """Return whether a request sent at a time shows the lower latency."""
        return self.active and sent_at >= self._began

    def end(self, now: float) -> None:
        """End a probe, or schedule the first one."""
        self._began = math.inf
        self._next = now + PROBE_INTERVAL_SECONDS

    def stop(self) -> None:
        """Schedule no probe, because the upstream is cold."""
        self._began = math.inf
        self._next = math.inf
