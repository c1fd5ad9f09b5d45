"""Complete configuration of one version."""

from __future__ import annotations

import msgspec

from limpetreel.configuration import route, service


class Configuration(msgspec.Struct, frozen=True):
    """Routes, services and limits that take effect together.

    Attributes
    ----------
    version : int
        The highest accepted version is in force.
    routes : tuple of Route
        All routes; no two have the same host and port.
    services : tuple of Service
        All services that the routes refer to.
    idle_timeout_ms : int
        Time without packets after which the state of a flow may be removed.
    """

    version: int
    routes: tuple[route.Route, ...]
    services: tuple[service.Service, ...]
    idle_timeout_ms: int
