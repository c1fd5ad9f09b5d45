"""A cold phase of a fake upstream."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class ColdPhase:
    """Period in which an upstream warms up and has a reduced capacity.

    Attributes
    ----------
    started_at : float
        Start of the phase in seconds.
    is_announced : bool
        Whether a new run id was announced.
    detectable_at : float
        Earliest time at which the agent could detect the phase without an
        announcement, in seconds: at an answer that took twice the mean service
        time, or after three service times.
    is_overloaded : bool
        Whether the upstream received more requests than it could run.
    is_overloaded_when_detectable : bool
        Whether that happened at or after `detectable_at`.
    """

    started_at: float
    is_announced: bool
    detectable_at: float
    is_overloaded: bool = False
    is_overloaded_when_detectable: bool = False
