"""Properties of a fake upstream."""

from __future__ import annotations

import msgspec


class UpstreamProfile(msgspec.Struct, frozen=True):
    """What a fake upstream truly bears; hidden from the policies.

    Attributes
    ----------
    slots : int
        Requests that it executes at once when warm.
    service_seconds : float
        Mean time of one request when warm.
    warm_up_seconds : float
        Time that it needs to become warm.
    cold_factor : float
        How much longer requests take at the beginning of a cold phase.
    backlog : int
        Requests that it keeps beyond its slots when warm; it sheds more.
    """

    slots: int
    service_seconds: float
    warm_up_seconds: float
    cold_factor: float = 3.0
    backlog: int = 64
