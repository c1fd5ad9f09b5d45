"""Agents that an entry may offer a flow to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams.messages import outcome
from limpetreel.streams.placement import agent_hint, service_pool

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
CLOSED_SECONDS = 1.0
"""Pause after an agent answered that its upstream accepts no flows; an update from
control usually arrives earlier."""
UNRESPONSIVE_SECONDS = 1.0
"""Time for which an agent gets only flows that no other takes at once, after it
answered that its upstream does not respond."""
WARMING_SECONDS = 0.1
"""Pause after a cold upstream reached its rate limit; about a tenth of the one-second
window of the limit."""
STARTING_SECONDS = 0.1
"""Pause after an agent answered that its upstream has not announced itself yet, which
takes up to 1 s."""


class Candidates:
    """Known agents by service.

    Parameters
    ----------
    data_centre : str
        Data centre of the entry.
    random : random.Random
        Source of the draws among agents.
    """

    def __init__(self, data_centre: str, random: random.Random) -> None:
        self._data_centre = data_centre
        self._random = random
        self._pools: dict[str, service_pool.ServicePool] = {}
        self._names: dict[Address, str] = {}
        self._hints: dict[str, agent_hint.AgentHint] = {}

    def update(
        self,
        records: Iterable[upstream_record.UpstreamRecord],
        zones_out: frozenset[str],
    ) -> None:
        """Replace the list of upstreams."""
        earlier, self._hints = self._hints, {}
        by_service: dict[str, list[agent_hint.AgentHint]] = {}
        for record in records:
            hint = earlier.get(record.name) or agent_hint.AgentHint(record)
            hint.apply(record)
            hint.is_open = record.is_accepting and record.data_centre not in zones_out
            hint.extra_cost = self._extra_cost(record)
            self._hints[record.name] = hint
            by_service.setdefault(record.service, []).append(hint)
        self._names = {(r.host, r.port): r.name for r in self._records()}
        pools, self._pools = self._pools, {}
        for service, hints in by_service.items():
            pool = service_pool.ServicePool(hints, self._data_centre, self._random)
            if service in pools:
                pool.inherit(pools[service])
            self._pools[service] = pool

    def address(self, name: str) -> Address:
        """Return the address of an agent."""
        record = self._hints[name].record
        return record.host, record.port

    def knows_service(self, service: str) -> bool:
        """Return whether any upstream of a service is in the list."""
        return service in self._pools

    def has_starting(self, now: float, service: str) -> bool:
        """Return whether an agent of a service is starting."""
        pool = self._pools.get(service)
        return pool is not None and pool.has_starting(now)

    def name_at(self, address: Address) -> str:
        """Return the agent at an address, empty if it is not known."""
        return self._names.get(address, "")

    def choose(self, now: float, service: str, tried: set[str], is_long: bool) -> str:
        """Return a good agent for an offer, empty if none is known to be free.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        service : str
            Service of the flow.
        tried : set of str
            Agents that have refused the flow.
        is_long : bool
            Whether several requests are expected on the flow.
        """
        pool = self._pools.get(service)
        hint = pool.choose(now, tried, is_long) if pool is not None else None
        return hint.record.name if hint is not None else ""

    def least_wait(self, now: float, service: str, max_wait: float) -> str:
        """Return the agent with the shortest wait, empty if a flow can wait at none.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        service : str
            Service of the flow.
        max_wait : float
            Latency target of the flow in seconds.
        """
        pool = self._pools.get(service)
        hint = pool.least_wait(now, max_wait) if pool is not None else None
        return hint.record.name if hint is not None else ""

    def count_busy(self, now: float, service: str) -> int:
        """Return how many agents of a service are known to have no free slot."""
        pool = self._pools.get(service)
        return pool.count_busy(now) if pool is not None else 0

    def record_offer(self, name: str) -> None:
        """Record that an agent has got an offer."""
        self._hints[name].open_offers += 1

    def record_answer(self, name: str) -> None:
        """Record that an agent has answered an offer, or will not."""
        hint = self._hints.get(name)
        if hint is not None and hint.open_offers:
            hint.open_offers -= 1

    def record_verdict(self, now: float, name: str, message: verdict.Verdict) -> str:
        """Record an agent's report and return why it is avoided, empty if it is not."""
        hint = self._hints[name]
        reason = self._pools[hint.record.service].record(now, hint, message)
        if message.outcome in (outcome.Outcome.BUSY, outcome.Outcome.QUEUED):
            hint.record_busy(now)
        elif message.outcome is outcome.Outcome.CLOSED:
            hint.avoid(now, CLOSED_SECONDS)
        elif message.outcome is outcome.Outcome.UNRESPONSIVE:
            hint.unresponsive_until = now + UNRESPONSIVE_SECONDS
        elif message.outcome is outcome.Outcome.STARTING:
            pool = self._pools[hint.record.service]
            pool.record_starting(now, hint, STARTING_SECONDS)
        elif message.outcome is outcome.Outcome.WARMING:
            hint.avoid(now, WARMING_SECONDS)
        return reason

    def pause(self, name: str) -> float:
        """Return the seconds for which a failing agent gets no flows."""
        return self._hints[name].health.pause

    def record_closed_queue(self, now: float, name: str, max_wait: float) -> None:
        """Record that an agent refused a flow that could wait for some seconds."""
        if name in self._hints:
            self._hints[name].record_closed_queue(now, max_wait)

    def record_timeout(self, now: float, name: str) -> None:
        """Record that an agent did not answer."""
        if name in self._hints:
            self._hints[name].record_timeout(now)

    def _records(self) -> Iterable[upstream_record.UpstreamRecord]:
        return (h.record for h in self._hints.values())

    def _extra_cost(self, record: upstream_record.UpstreamRecord) -> float:
        is_other = record.data_centre != self._data_centre
        cost = OTHER_DATA_CENTRE_SECONDS if is_other else 0.0
        return cost if record.is_reported else cost + UNREPORTED_SECONDS
