"""Lookup of routes by address."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from limpetreel.streams import stream_key

if TYPE_CHECKING:
    from limpetreel.configuration import configuration, route, service


class RouteTable:
    """Index of one configuration.

    Parameters
    ----------
    source : Configuration
        The configuration.
    """

    def __init__(self, source: configuration.Configuration) -> None:
        self.version = source.version
        self.idle_seconds = source.idle_timeout_ms / 1000
        self.longest_timeout_seconds = max(
            (r.timeout_ms / 1000 for r in source.routes), default=0.0
        )
        self._routes = {stream_key.pack(r.host, r.port): r for r in source.routes}
        self._services = {s.name: s for s in source.services}

    def find(self, flow: bytes) -> route.Route | None:
        """Return the route of a flow, None if there is none."""
        return self._routes.get(flow[6:])

    def service(self, name: str) -> service.Service | None:
        """Return a service, None if there is none."""
        return self._services.get(name)


def newer(
    source: configuration.Configuration | None, known: RouteTable | None
) -> RouteTable | None:
    """Return the index of a configuration, None if it is not newer than the known one.

    Parameters
    ----------
    source : Configuration or None
        The configuration, None if there is none.
    known : RouteTable or None
        The index in use, None before the first.
    """
    if source is None or (known is not None and source.version <= known.version):
        return None
    return RouteTable(source)


def choose_service(matched_route: route.Route, flow: bytes) -> str:
    """Return the service of a new flow.

    Copies of an opening packet may arrive at several entries, so the choice
    depends only on the flow.
    """
    services = matched_route.services
    if len(services) == 1:
        return services[0].name
    offset = xxhash.xxh64_intdigest(flow) % max(1, sum(s.weight for s in services))
    for weighted in services:
        offset -= weighted.weight
        if offset < 0:
            return weighted.name
    return services[-1].name
