"""Mean latency of blocks of requests and the minimum of recent means."""

from __future__ import annotations

import collections

BLOCK_SIZE = 16
"""Requests per block; with a deviation of 30 %, the mean of 16 is within 8 %."""

BASELINE_SECONDS = 20.0
"""Age at which means expire, so that a slowdown of the upstream is detected."""

MAX_BLOCKS = 256


class LatencyBlocks:
    """Collects latencies in blocks.

    The mean covers requests sent at full use of the limit. The baseline covers all
    requests, because at moderate load full use is rare and occurs only when requests
    already queue inside the upstream.
    """

    def __init__(self) -> None:
        self._sum = 0.0
        self._count = 0
        self._baseline_sum = 0.0
        self._baseline_count = 0
        self._means: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=MAX_BLOCKS
        )

    def record(self, now: float, latency: float, is_full_use: bool) -> float | None:
        """Add a latency; return the mean in seconds when a block is complete.

        Parameters
        ----------
        now : float
            Time in seconds.
        latency : float
            Latency in seconds.
        is_full_use : bool
            Whether the request was sent while the limit was fully used.
        """
        self.record_baseline(now, latency)
        if not is_full_use:
            return None
        self._sum += latency
        self._count += 1
        if self._count < BLOCK_SIZE:
            return None
        mean = self._sum / self._count
        self.restart_block()
        return mean

    @property
    def baseline(self) -> float | None:
        """Lowest mean of the last `BASELINE_SECONDS`, None without a complete block."""
        return min((mean for _, mean in self._means), default=None)

    def restart_block(self) -> None:
        """Discard the incomplete block, because the limit has changed."""
        self._sum = 0.0
        self._count = 0

    def restart_baseline_block(self) -> None:
        """Discard the incomplete block of the baseline."""
        self._baseline_sum = 0.0
        self._baseline_count = 0

    def record_baseline(self, now: float, latency: float) -> bool:
        """Add a latency to the baseline; return whether its block is complete."""
        self._baseline_sum += latency
        self._baseline_count += 1
        if self._baseline_count < BLOCK_SIZE:
            return False
        self._means.append((now, self._baseline_sum / self._baseline_count))
        self.restart_baseline_block()
        while self._means[0][0] < now - BASELINE_SECONDS:
            self._means.popleft()
        return True

    def clear(self) -> None:
        """Discard all measurements."""
        self.restart_block()
        self.restart_baseline_block()
        self._means.clear()
