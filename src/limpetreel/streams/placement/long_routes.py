"""Routes whose flows usually carry several requests."""

from __future__ import annotations

WEIGHT = 0.1
"""Weight of a new report; agents that have just started report short flows."""


class LongRoutes:
    """Remembers what agents report about the flows of routes."""

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}

    def record(self, route: str, is_long: bool) -> None:
        """Record the report of an agent about the flows of a route."""
        share = self._shares.get(route)
        if share is None:
            self._shares[route] = float(is_long)
        else:
            self._shares[route] = share + WEIGHT * (is_long - share)

    def is_long(self, route: str) -> bool:
        """Return whether several requests are expected on a flow of a route."""
        return self._shares.get(route, 0.0) >= 0.5
