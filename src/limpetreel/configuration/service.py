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
        Maximum number of flows of an upstream.
    cold_seconds : float
        Time after a start during which an upstream is cold.
    cold_per_second : float
        New flows per second that a cold upstream can take.
    """

    name: str
    max_connections: int
    cold_seconds: float
    cold_per_second: float
