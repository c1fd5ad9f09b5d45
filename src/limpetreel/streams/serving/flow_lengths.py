"""Whether the flows of a route usually carry several requests."""

from __future__ import annotations

WEIGHT = 0.1
"""Weight of a flow in the moving average; about the last ten flows count."""
LONG_SHARE = 0.5
"""Share of flows with several requests above which the flows of a route are long."""


class FlowLengths:
    """Moving average, by route, of the share of flows with several requests."""

    def __init__(self) -> None:
        self._shares: dict[bytes, float] = {}

    def record(self, route_address: bytes, has_several: bool) -> None:
        """Record a flow: at its second request, or when it has ended before one.

        Parameters
        ----------
        route_address : bytes
            Address that the flow was opened to.
        has_several : bool
            Whether it has carried several requests.
        """
        share = self._shares.get(route_address, 0.0)
        self._shares[route_address] = share + WEIGHT * (float(has_several) - share)

    def is_long(self, route_address: bytes) -> bool:
        """Return whether most flows of a route carry several requests."""
        return self._shares.get(route_address, 0.0) > LONG_SHARE
