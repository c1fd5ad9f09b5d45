"""Service that upstreams belong to."""

from __future__ import annotations

import msgspec


class Service(msgspec.Struct, frozen=True):
    """Limits of the upstreams of one service.

    Attributes
    ----------
    name : str
        Name of the service.
    max_connections : int
        Flows that an upstream holds at most.
    cold_seconds : float
        Time after a start during which an upstream is cold.
    cold_per_second : float
        New flows a second that a cold upstream bears.
    """

    name: str
    max_connections: int
    cold_seconds: float
    cold_per_second: float
