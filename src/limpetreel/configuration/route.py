"""Route from an address to services."""

from __future__ import annotations

import msgspec

from limpetreel.configuration import request_kind, weighted_service


class Route(msgspec.Struct, frozen=True, omit_defaults=True):
    """Services for the flows to one address and port.

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
        Time after which a caller abandons a request.
    answer_ms : int
        Target time for the answer to a request.
    priority : int
        Rank among queued flows; 0 is served first.
    services : tuple of WeightedService
        Services among which new flows are distributed.
    unknown_kind : str or None
        Kind as the operator wrote it, if it is not known; `kind` is then the one that
        forbids most.
    """

    name: str
    host: str
    port: int
    kind: request_kind.RequestKind
    timeout_ms: int
    answer_ms: int
    priority: int
    services: tuple[weighted_service.WeightedService, ...]
    unknown_kind: str | None = None

    def allows(self, service: str) -> bool:
        """Return whether new flows may go to a service."""
        return any(s.name == service and s.weight > 0 for s in self.services)
