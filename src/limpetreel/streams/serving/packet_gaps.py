"""Data that is missing in a request, since packets were lost or overtaken."""

from __future__ import annotations

_SEQUENCE_MASK = 0xFFFFFFFF
_HALF = 1 << 31
MAX_RANGES = 64
"""Bounds the memory and the time for each packet. Callers have at most 16 packets in
flight, which leave fewer ranges."""


class PacketGaps:
    """Ranges of sequence numbers that have not arrived yet."""

    __slots__ = ("_ranges",)

    def __init__(self) -> None:
        self._ranges: list[tuple[int, int]] = []

    def __len__(self) -> int:
        """Return the number of ranges that are missing."""
        return len(self._ranges)

    def add(self, start: int, end: int) -> None:
        """Record that data from one number up to another one was skipped.

        Beyond the bound the oldest range is forgotten.
        """
        self._ranges.append((start, end))
        del self._ranges[:-MAX_RANGES]

    def fill(self, sequence: int, size: int) -> bool:
        """Record data that has arrived; return whether some of it was missing."""
        end = (sequence + size) & _SEQUENCE_MASK
        remaining: list[tuple[int, int]] = []
        for first, last in self._ranges:
            if _is_before(first, sequence):
                remaining.append((first, _earlier(last, sequence)))
            if _is_before(end, last):
                remaining.append((_later(first, end), last))
        has_changed = remaining != self._ranges
        self._ranges = remaining[-MAX_RANGES:]
        return has_changed


def _is_before(one: int, other: int) -> bool:
    return 0 < (other - one) & _SEQUENCE_MASK < _HALF


def _earlier(one: int, other: int) -> int:
    return one if _is_before(one, other) else other


def _later(one: int, other: int) -> int:
    return other if _is_before(one, other) else one
