"""Rate limit of repeated log lines."""

from __future__ import annotations

import msgspec

Key = tuple[str, str]

LINES_PER_PERIOD = 5
PERIOD_SECONDS = 10.0
DECISIONS_PER_PERIOD = 400
"""Limit of lines about single flows; costs under 2 ms of CPU time per second."""
MAX_KEYS = 256
"""Number of keys that are tracked; bounds the memory for any input."""


class _Period(msgspec.Struct):
    """Counts of the lines with one key in the current period."""

    started_at: float
    lines: int = 0
    suppressed: int = 0


class RateLimit:
    """Admits a limited number of lines per key and period and counts the others.

    Parameters
    ----------
    lines_per_period : int
        Number of lines with the same key that are admitted in a period.
    """

    def __init__(self, lines_per_period: int = LINES_PER_PERIOD) -> None:
        self._lines_per_period = lines_per_period
        self._periods: dict[Key, _Period] = {}

    def admit(self, now: float, key: Key) -> int | None:
        """Return how many lines were suppressed before this one, None to suppress it.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        key : tuple of (str, str)
            Step and reason of the line.
        """
        period = self._periods.get(key)
        if period is None or now - period.started_at >= PERIOD_SECONDS:
            suppressed = period.suppressed if period is not None else 0
            self._start_period(now, key)
            return suppressed
        if period.lines < self._lines_per_period:
            period.lines += 1
            return 0
        period.suppressed += 1
        return None

    def take_suppressed(self, now: float, at_end: bool = False) -> dict[Key, int]:
        """Return the suppressed lines of ended periods by key and reset the counts.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        at_end : bool
            Whether to include periods that have not ended.
        """
        counts = {}
        for key, period in self._periods.items():
            if period.suppressed and (
                at_end or now - period.started_at >= PERIOD_SECONDS
            ):
                counts[key] = period.suppressed
                period.suppressed = 0
        return counts

    def _start_period(self, now: float, key: Key) -> None:
        self._periods.pop(key, None)
        if len(self._periods) >= MAX_KEYS:
            self._periods.pop(next(iter(self._periods)))
        self._periods[key] = _Period(now, lines=1)
