"""Capacity of an upstream while it warms up."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class ColdStart:
    """Linear ramp from one concurrent request to the full number of slots.

    Attributes
    ----------
    slots : int
        Concurrent requests at full capacity.
    seconds : float
        Time from start to full capacity.
    """

    slots: int
    seconds: float

    def capacity(self, age_s: float) -> int:
        """Return how many concurrent requests run at full speed at an age."""
        if age_s >= self.seconds:
            return self.slots
        return 1 + int((self.slots - 1) * age_s / self.seconds)
