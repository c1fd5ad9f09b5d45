"""Total number of flows in several directories."""

from __future__ import annotations


class FlowCount:
    """Total shared by the directories of all buckets.

    Summing over 1,024 buckets at each new flow took 0.1 ms.
    """

    __slots__ = ("total",)

    def __init__(self) -> None:
        self.total = 0
