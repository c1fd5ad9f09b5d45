"""Upstreams that an entry may offer a flow to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams.messages import outcome
from limpetreel.streams.placement import agent_hint

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from limpetreel.cluster import upstream_record
    from limpetreel.streams.messages import verdict

    Address = tuple[str, int]

OTHER_DATA_CENTRE_SECONDS = 0.015
"""Cost of an upstream in another data centre, as an equivalent wait in the local one:
two round trips between them, and the price of the traffic."""
UNREPORTED_SECONDS = 0.25
"""Cost of an agent without a recent report to control, as an equivalent wait at another
one; such agents are tried last but not excluded."""
SPREAD_SECONDS = 0.004
"""Random part of the cost, so that entries do not all try the same agent first."""
CLOSED_SECONDS = 1.0
"""Pause after an agent answered that its upstream accepts no flows; an update from
control usually arrives earlier."""
WARMING_SECONDS = 0.1
"""Pause after a cold upstream reached its rate limit; about a tenth of the one-second
window of the limit."""
STARTING_SECONDS = 0.1
"""Pause after an agent answered that its upstream has not announced itself yet, which
takes up to 1 s."""


class Candidates:
    """Known upstreams, ordered by expected wait.

    Parameters
    ----------
    data_centre : str
        Data centre of the entry.
    random : random.Random
        Source of the order among equal upstreams.
    """

    def __init__(self, data_centre: str, random: random.Random) -> None:
        self._data_centre = data_centre
        self._random = random
        self._by_service: dict[str, list[upstream_record.UpstreamRecord]] = {}
        self._all: dict[str, upstream_record.UpstreamRecord] = {}
        self._names: dict[Address, str] = {}
        self._hints: dict[str, agent_hint.AgentHint] = {}
        self._zones_out: frozenset[str] = frozenset()

    def update(
        self,
        records: Iterable[upstream_record.UpstreamRecord],
        zones_out: frozenset[str],
    ) -> None:
        """Replace the list of upstreams."""
        self._zones_out = zones_out
        self._all = {r.name: r for r in records}
        self._names = {(r.host, r.port): r.name for r in self._all.values()}
        self._by_service = {}
        for record in self._all.values():
            self._by_service.setdefault(record.service, []).append(record)
        self._hints = {
            name: self._hints.get(name) or agent_hint.AgentHint() for name in self._all
        }

    def address(self, name: str) -> Address:
        """Return the address of an agent."""
        record = self._all[name]
        return record.host, record.port

    def knows(self, name: str) -> bool:
        """Return whether an agent is in the list."""
        return name in self._all

    def knows_service(self, service: str) -> bool:
        """Return whether any upstream of a service is in the list."""
        return service in self._by_service

    def has_starting(self, now: float, service: str) -> bool:
        """Return whether an agent of a service is starting."""
        return any(
            self._hints[r.name].is_starting(now)
            for r in self._by_service.get(service, ())
        )

    def name_at(self, address: Address) -> str:
        """Return the agent at an address, empty if it is not known."""
        return self._names.get(address, "")

    def best(self, now: float, service: str, tried: set[str]) -> str:
        """Return the agent with the lowest cost, empty if none is left."""
        best_name, lowest_cost = "", float("inf")
        for record in self._by_service.get(service, ()):
            if record.name in tried or not self._is_usable(now, record):
                continue
            cost = self._hints[record.name].cost(now)
            if record.data_centre != self._data_centre:
                cost += OTHER_DATA_CENTRE_SECONDS
            if not record.is_reported:
                cost += UNREPORTED_SECONDS
            cost += self._random.random() * SPREAD_SECONDS
            if cost < lowest_cost:
                best_name, lowest_cost = record.name, cost
        return best_name

    def record_verdict(self, now: float, name: str, message: verdict.Verdict) -> None:
        """Record the load that an agent reported with its verdict."""
        hint = self._hints[name]
        hint.record_load(
            now, message.wait_ms / 1000, message.service_ms / 1000, message.load / 100
        )
        if message.outcome in (outcome.Outcome.CLOSED, outcome.Outcome.UNRESPONSIVE):
            hint.avoid(now, CLOSED_SECONDS)
        elif message.outcome is outcome.Outcome.STARTING:
            hint.record_starting(now, STARTING_SECONDS)
        elif message.outcome is outcome.Outcome.WARMING:
            hint.avoid(now, WARMING_SECONDS)

    def record_timeout(self, now: float, name: str) -> None:
        """Record that an agent did not answer."""
        if name in self._hints:
            self._hints[name].record_timeout(now)

    def _is_usable(self, now: float, record: upstream_record.UpstreamRecord) -> bool:
        if not record.is_accepting or record.data_centre in self._zones_out:
            return False
        return not self._hints[record.name].is_avoided(now)
