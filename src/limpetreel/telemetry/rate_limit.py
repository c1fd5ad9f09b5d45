"""Limit on repeated log lines."""

from __future__ import annotations

import dataclasses

Key = tuple[str, str]

LINES_PER_PERIOD = 5
PERIOD_SECONDS = 10.0
DECISIONS_PER_PERIOD = 400
"""Lines about single flows; under 2 ms of processor time a second."""
MAX_KEYS = 256
"""Kinds of lines that are told apart; bounds the memory under any input."""


@dataclasses.dataclass
class _Period:
    """Lines of one kind in the current period."""

    began_at: float
    lines: int = 0
    left_out: int = 0


class RateLimit:
    """Admits a few lines of each kind in each period and counts the others.

    Parameters
    ----------
    lines_per_period : int
        Lines of each kind that are admitted in a period.
    """

    def __init__(self, lines_per_period: int = LINES_PER_PERIOD) -> None:
        self._lines_per_period = lines_per_period
        self._periods: dict[Key, _Period] = {}

    def admit(self, now: float, key: Key) -> int | None:
        """Return how many lines were left out before this one, None to leave it out.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        key : tuple of (str, str)
            Step and reason of the line.
        """
        period = self._periods.get(key)
        if period is None or now - period.began_at >= PERIOD_SECONDS:
            left_out = period.left_out if period is not None else 0
            self._begin(now, key)
            return left_out
        if period.lines < self._lines_per_period:
            period.lines += 1
            return 0
        period.left_out += 1
        return None

    def take_left_out(self, now: float, at_end: bool = False) -> dict[Key, int]:
        """Return the counts of periods that have ended and set them to 0.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        at_end : bool
            Whether to include periods that are still running.
        """
        found = {}
        for key, period in self._periods.items():
            if period.left_out and (at_end or now - period.began_at >= PERIOD_SECONDS):
                found[key] = period.left_out
                period.left_out = 0
        return found

    def _begin(self, now: float, key: Key) -> None:
        self._periods.pop(key, None)
        if len(self._periods) >= MAX_KEYS:
            self._periods.pop(next(iter(self._periods)))
        self._periods[key] = _Period(now, lines=1)
