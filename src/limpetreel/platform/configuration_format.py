"""Configuration documents of operators."""

from __future__ import annotations

import contextlib
import socket
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

MAX_PORT_DIGITS = 5
MAX_NUMBER = 2**63 - 1
"""Largest integer that messages to nodes can carry."""

_Number = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
_Version = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_Positive = Annotated[int, msgspec.Meta(gt=0, le=MAX_NUMBER)]
_NotNegative = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class _Split(msgspec.Struct, rename="pascal"):
    """Share of a route's flows for one service."""

    backend: str
    weight: _NotNegative


class _Route(msgspec.Struct, rename="pascal"):
    """One route."""

    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: _Positive
    aim_ms: _NotNegative = 0
    priority: _Number = DEFAULT_PRIORITY
    backend: str = ""
    weighted_backends: tuple[_Split, ...] = ()


class _Service(msgspec.Struct, rename="pascal"):
    """One service."""

    name: str
    max_connections: _NotNegative | msgspec.UnsetType = msgspec.UNSET
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
            # The decoder skips the contents of fields that it does not know.
            document.decode()
            decoded = _DECODER.decode(document)
        except (UnicodeDecodeError, msgspec.DecodeError, RecursionError) as exc:
            raise exceptions.DocumentError("configuration.parse", str(exc)) from exc
        services = tuple(_service(s) for s in decoded.backends)
        known = {s.name for s in services}
        if len(known) < len(services):
            raise _invalid("two services have the same name")
        routes = tuple(_route(r, known) for r in decoded.routes)
        if len({(r.host, r.port) for r in routes}) < len(routes):
            raise _invalid("two routes have the same host and prefix")
        idle = decoded.limits.idle_timeout_ms or DEFAULT_IDLE_MS
        return configuration.Configuration(decoded.version, routes, services, idle)


def _invalid(detail: str) -> exceptions.DocumentError:
    return exceptions.DocumentError("configuration.parse", detail)


def _service(backend: _Service) -> service.Service:
    limit = backend.max_connections
    return service.Service(
        backend.name,
        None if isinstance(limit, msgspec.UnsetType) else limit,
        backend.slow_start_s,
        backend.warmup_per_s,
    )


def _route(document_route: _Route, services: set[str]) -> route.Route:
    named = {s.backend for s in document_route.weighted_backends}
    if document_route.backend:
        named.add(document_route.backend)
    for name in sorted(named - services):
        raise _invalid(
            f"route {document_route.name!r} refers to unknown service {name!r}"
        )
    split = tuple(
        weighted_service.WeightedService(s.backend, s.weight)
        for s in document_route.weighted_backends
    )
    if document_route.backend:
        split = (weighted_service.WeightedService(document_route.backend, 1),)
    if not any(s.weight for s in split):
        raise _invalid(
            f"route {document_route.name!r} has no service with a weight above 0"
        )
    kind = request_kind.RequestKind(document_route.type)
    return route.Route(
        document_route.name,
        _host(document_route),
        _port(document_route),
        kind,
        document_route.timeout_ms,
        document_route.aim_ms or document_route.timeout_ms,
        document_route.priority,
        split,
        None if kind == document_route.type else document_route.type,
    )


def _host(document_route: _Route) -> str:
    host = document_route.host
    with contextlib.suppress(OSError, ValueError):
        # It accepts only the canonical form, as the library does.
        socket.inet_pton(socket.AF_INET, host)
        return host
    # Imported only to explain what is wrong; it is large.
    import ipaddress

    try:
        return str(ipaddress.IPv4Address(host))
    except ValueError as exc:
        raise _invalid(
            f"host {host!r} of route {document_route.name!r}: {exc}"
        ) from exc


def _port(document_route: _Route) -> int:
    """Return the port; the platform writes it as a path prefix such as ``/8080/``."""
    text = document_route.path_prefix
    number = text.strip("/")
    is_number = number.isdecimal() and len(number) <= MAX_PORT_DIGITS
    if text != f"/{number}/" or not is_number or not 0 < int(number) < 65536:
        raise _invalid(
            f"prefix {text!r} of route {document_route.name!r} is not a port"
        )
    return int(number)
