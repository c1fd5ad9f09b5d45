"""Service that upstreams belong to."""

from __future__ import annotations

import msgspec


class Service(msgspec.Struct, frozen=True):
    """Limits of the upstreams of one service.

    Attributes
    ----------
    name : str
        Name of the service.
    max_connections : int or None
        Maximum number of flows of an upstream, None if the document names none.
    cold_seconds : float
        Time after a start during which an upstream is cold.
    cold_per_second : float
        New flows per second that a cold upstream can take; 0 sets no limit.
    """

    name: str
    max_connections: int | None
    cold_seconds: float
    cold_per_second: float
