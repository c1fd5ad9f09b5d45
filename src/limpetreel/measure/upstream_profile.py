"""Properties of a fake upstream."""

from __future__ import annotations

import msgspec


class UpstreamProfile(msgspec.Struct, frozen=True):
    """True capacity and speed of a fake upstream; hidden from the policies.

    Attributes
    ----------
    slots : int
        Requests that it runs at once when warm.
    service_seconds : float
        Mean time of one request when warm.
    warm_up_seconds : float
        Duration of the warm-up.
    cold_factor : float
        Factor on the service time at the beginning of a cold phase.
    backlog : int
        Requests that wait beyond the slots when warm; further ones are shed.
    """

    slots: int
    service_seconds: float
    warm_up_seconds: float
    cold_factor: float = 3.0
    backlog: int = 64
