"""Choice of the ordinary placements that are logged."""

from __future__ import annotations

import xxhash

LINES_PER_SECOND = 32
"""Placements in a second that are all logged. A line takes as long as the placement
itself, and the log admits 400 lines of a kind in 10 s, slow placements included."""
PERIOD_SECONDS = 1.0


class LineSample:
    """Logs one placement in 1, 2, 4, ... so that the lines of a second are bounded.

    Whether a flow is chosen depends on its key and the ratio only, and a flow that is
    chosen at one ratio is chosen at all lower ones, so the lines of several processes
    about a flow are found together.
    """

    def __init__(self) -> None:
        self._period_at = float("-inf")
        self._count = 0
        self._last_ratio = 1

    def ratio(self, now: float) -> int:
        """Count a placement and return the number of placements for each line."""
        if now - self._period_at >= PERIOD_SECONDS:
            is_next = now - self._period_at < 2 * PERIOD_SECONDS
            self._last_ratio = _ratio(self._count) if is_next else 1
            self._period_at = now
            self._count = 0
        self._count += 1
        return max(self._last_ratio, _ratio(self._count))


def is_chosen(flow: bytes, ratio: int) -> bool:
    """Return whether the line of a flow is written at a ratio, a power of two."""
    return ratio == 1 or xxhash.xxh64_intdigest(flow) & (ratio - 1) == 0


def _ratio(count: int) -> int:
    """Return the lowest power of two that keeps the lines below the limit."""
    return 1 << max(0, (count - 1) // LINES_PER_SECOND).bit_length()
