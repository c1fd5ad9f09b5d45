"""Sliding window that detects replayed sequence numbers."""

from __future__ import annotations

WINDOW_SIZE = 1024
"""Number of latest sequence numbers tracked for each sender.

A sender numbers its frames across all receivers, so a frame that is reordered by a
few milliseconds can arrive several hundred numbers late.
"""


class ReplayWindow:
    """Sliding window over the sequence numbers of one sender incarnation.

    Parameters
    ----------
    incarnation : int
        Incarnation of the sender that the window belongs to.
    """

    __slots__ = ("_highest", "_seen", "incarnation")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._highest = 0
        self._seen = 0

    def accept(self, sequence: int) -> bool:
        """Record a sequence number; return False if it was recorded or is too old."""
        distance = sequence - self._highest
        if distance > 0:
            shifted = self._seen << distance if distance < WINDOW_SIZE else 0
            self._seen = (shifted | 1) & _MASK
            self._highest = sequence
            return True
        if -distance >= WINDOW_SIZE:
            return False
        bit = 1 << -distance
        if self._seen & bit:
            return False
        self._seen |= bit
        return True


_MASK = (1 << WINDOW_SIZE) - 1
