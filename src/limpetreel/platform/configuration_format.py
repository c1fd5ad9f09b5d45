"""Configuration documents of operators."""

from __future__ import annotations

import ipaddress
from typing import Annotated

import msgspec

from limpetreel import exceptions
from limpetreel.configuration import (
    configuration,
    document_parser,
    request_kind,
    route,
    service,
    weighted_service,
)

DEFAULT_IDLE_MS = 15_000
DEFAULT_PRIORITY = 1

_Version = Annotated[int, msgspec.Meta(ge=0)]
_Positive = Annotated[int, msgspec.Meta(gt=0)]
_NotNegative = Annotated[int, msgspec.Meta(ge=0)]


class _Split(msgspec.Struct, rename="pascal"):
    """Part of a route's flows."""

    backend: str
    weight: _NotNegative


class _Route(msgspec.Struct, rename="pascal"):
    """One route."""

    name: str
    host: str
    path_prefix: str
    type: request_kind.RequestKind
    timeout_ms: _Positive
    aim_ms: _NotNegative = 0
    priority: int = DEFAULT_PRIORITY
    backend: str = ""
    weighted_backends: tuple[_Split, ...] = ()


class _Service(msgspec.Struct, rename="pascal"):
    """One service."""

    name: str
    max_connections: _NotNegative = 0
    slow_start_s: float = 0.0
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct, rename="pascal"):
    """Limits, of which only the idle time concerns flows."""

    idle_timeout_ms: _NotNegative = DEFAULT_IDLE_MS


class _Document(msgspec.Struct, rename="pascal"):
    """The whole document."""

    version: _Version
    routes: tuple[_Route, ...]
    backends: tuple[_Service, ...]
    limits: _Limits = msgspec.field(default_factory=_Limits)


_DECODER = msgspec.json.Decoder(_Document)


class ConfigurationFormat(document_parser.DocumentParser):
    """Parser of the platform's JSON documents."""

    def parse(self, document: bytes) -> configuration.Configuration:
        """Return the configuration; see `DocumentParser.parse`."""
        try:
            found = _DECODER.decode(document)
        except (msgspec.DecodeError, RecursionError) as exc:
            raise exceptions.DocumentError("configuration.parse", str(exc)) from exc
        services = tuple(_service(s) for s in found.backends)
        known = {s.name for s in services}
        if len(known) < len(services):
            raise _invalid("two services have the same name")
        routes = tuple(_route(r, known) for r in found.routes)
        if len({(r.host, r.port) for r in routes}) < len(routes):
            raise _invalid("two routes have the same host and prefix")
        idle = found.limits.idle_timeout_ms or DEFAULT_IDLE_MS
        return configuration.Configuration(found.version, routes, services, idle)


def _invalid(detail: str) -> exceptions.DocumentError:
    return exceptions.DocumentError("configuration.parse", detail)


def _service(item: _Service) -> service.Service:
    return service.Service(
        item.name, item.max_connections, item.slow_start_s, item.warmup_per_s
    )


def _route(item: _Route, services: set[str]) -> route.Route:
    split = tuple(
        weighted_service.WeightedService(s.backend, s.weight)
        for s in item.weighted_backends
    )
    if item.backend:
        split = (weighted_service.WeightedService(item.backend, 1),)
    if not any(s.weight for s in split):
        raise _invalid(f"route {item.name!r} leads to no service")
    for part in split:
        if part.name not in services:
            raise _invalid(f"route {item.name!r} names unknown service {part.name!r}")
    return route.Route(
        item.name,
        _host(item),
        _port(item),
        item.type,
        item.timeout_ms,
        item.aim_ms or item.timeout_ms,
        item.priority,
        split,
    )


def _host(item: _Route) -> str:
    try:
        return str(ipaddress.IPv4Address(item.host))
    except ValueError as exc:
        raise _invalid(f"host {item.host!r} of route {item.name!r}: {exc}") from exc


def _port(item: _Route) -> int:
    """Return the port; the platform writes it as a path prefix such as ``/8080/``."""
    text = item.path_prefix
    number = text.strip("/")
    if text != f"/{number}/" or not number.isdecimal() or not 0 < int(number) < 65536:
        raise _invalid(f"prefix {text!r} of route {item.name!r} is no port")
    return int(number)
