"""Capacity reports of one agent."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass
class CapacityReports:
    """Recent capacity reports of an agent.

    Attributes
    ----------
    capacity : int
        Last report, in open requests.
    reported_at : float
        Time of the last report in seconds.
    differs_since : float or None
        Since when each report has differed in the same direction.
    closest_share : int
        The target share during that time that is closest to the current share.
    changed_at : float
        Time of the last change of the share in seconds.
    """

    capacity: int = 0
    reported_at: float = float("-inf")
    differs_since: float | None = None
    closest_share: int = 0
    changed_at: float = float("-inf")
