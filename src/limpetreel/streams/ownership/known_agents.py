"""Agents that may own flows of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limpetreel.cluster import upstream_record

    Address = tuple[str, int]
    Groups = list[tuple[Address, ...]]

MIN_AGENTS = 12
"""Agents from which on those of the local data centre are asked first. With fewer ones
the messages that it saves are not worth the wait."""
MAX_OTHER_AGENTS = 64
"""Agents of other services that are asked before a flow is reset. On sites with more of
them the messages would cost too much."""


class KnownAgents:
    """Addresses of agents by service, the likely owners first.

    An entry places most flows in its own data centre, and routers give the flows of a
    caller to entries of one data centre.

    Parameters
    ----------
    data_centre : str
        Data centre of the entry.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._by_service: dict[str, list[upstream_record.UpstreamRecord]] = {}
        self._groups: dict[tuple[str, ...], Groups] = {}
        self._others: dict[tuple[str, ...], Groups] = {}

    def update(self, records: Iterable[upstream_record.UpstreamRecord]) -> None:
        """Replace the list of upstreams."""
        self._by_service = {}
        self._groups = {}
        self._others = {}
        for record in records:
            if not record.has_ended:
                self._by_service.setdefault(record.service, []).append(record)

    def groups(self, services: tuple[str, ...]) -> Groups:
        """Return the agents of services, in groups that are asked one after another."""
        groups = self._groups.get(services)
        if groups is None:
            groups = self._groups[services] = self._divide(services)
        return groups

    def others(self, services: tuple[str, ...]) -> Groups:
        """Return agents of other services, which the route may have named before."""
        groups = self._others.get(services)
        if groups is None:
            groups = self._others[services] = self._collect_others(services)
        return groups

    def _collect_others(self, services: tuple[str, ...]) -> Groups:
        agents = [
            (record.host, record.port)
            for service, records in self._by_service.items()
            if service not in services
            for record in records
        ]
        return [tuple(agents)] if 0 < len(agents) <= MAX_OTHER_AGENTS else []

    def _divide(self, services: tuple[str, ...]) -> Groups:
        records = [r for s in services for r in self._by_service.get(s, ())]
        near = [r for r in records if r.data_centre == self._data_centre]
        far = [r for r in records if r.data_centre != self._data_centre]
        parts = [near, far] if len(records) >= MIN_AGENTS else [records]
        return [tuple((r.host, r.port) for r in part) for part in parts if part]
