"""Route from an address to services."""

from __future__ import annotations

import msgspec

from limpetreel.configuration import request_kind, weighted_service


class Route(msgspec.Struct, frozen=True):
    """Where flows to one address and port go.

    Attributes
    ----------
    name : str
        Name of the route.
    host : str
        IP number that callers open flows to.
    port : int
        Port that callers open flows to.
    kind : RequestKind
        Kind of the requests inside the flows.
    timeout_ms : int
        Time after which a caller gives a request up.
    answer_ms : int
        Time within which a caller wants its answer.
    priority : int
        Rank among waiting flows; 0 goes first.
    services : tuple of WeightedService
        Services that new flows are spread over.
    """

    name: str
    host: str
    port: int
    kind: request_kind.RequestKind
    timeout_ms: int
    answer_ms: int
    priority: int
    services: tuple[weighted_service.WeightedService, ...]

    def allows(self, service: str) -> bool:
        """Return whether new flows may go to a service."""
        return any(s.name == service and s.weight > 0 for s in self.services)
