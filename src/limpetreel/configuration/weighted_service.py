"""Service with its share of a route's flows."""

from __future__ import annotations

import msgspec


class WeightedService(msgspec.Struct, frozen=True):
    """One of the services of a route.

    Attributes
    ----------
    name : str
        Name of the service.
    weight : int
        Share of the new flows, relative to the other services of the route.
    """

    name: str
    weight: int
