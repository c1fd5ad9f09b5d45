"""Capacity of an upstream while it warms up."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class ColdStart:
    """Linear growth from one request at a time to the full number of slots.

    Attributes
    ----------
    slots : int
        Requests that the warm upstream runs at once.
    seconds : float
        Time from start to full capacity.
    """

    slots: int
    seconds: float

    def capacity(self, age_s: float) -> int:
        """Return how many requests the upstream bears at an age in seconds."""
        if age_s >= self.seconds:
            return self.slots
        return 1 + int((self.slots - 1) * age_s / self.seconds)
