"""A cold phase of a fake upstream."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class ColdPhase:
    """What happened in one cold phase.

    Attributes
    ----------
    began : float
        Begin in seconds.
    is_announced : bool
        Whether a new run id was announced.
    sign_at : float
        When the agent could first notice the phase by itself, in seconds: at an
        answer that took twice the usual time, or after three service times.
    is_overloaded : bool
        Whether the upstream got more than it bore.
    is_overloaded_after_sign : bool
        Whether that happened after `sign_at`.
    """

    began: float
    is_announced: bool
    sign_at: float
    is_overloaded: bool = False
    is_overloaded_after_sign: bool = False
