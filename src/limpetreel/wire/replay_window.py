"""Window that tells replayed sequence numbers from new ones."""

from __future__ import annotations

WINDOW_SIZE = 1024
"""Sequence numbers remembered for each sender.

One sender numbers its frames over all receivers, so a frame may legitimately
arrive some hundred numbers late when it was reordered by a few milliseconds.
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
        """Record a sequence number; return False if it was seen or is too old."""
        ahead = sequence - self._highest
        if ahead > 0:
            shifted = self._seen << ahead if ahead < WINDOW_SIZE else 0
            self._seen = (shifted | 1) & _MASK
            self._highest = sequence
            return True
        if -ahead >= WINDOW_SIZE:
            return False
        bit = 1 << -ahead
        if self._seen & bit:
            return False
        self._seen |= bit
        return True


_MASK = (1 << WINDOW_SIZE) - 1
