"""Agents of one service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams.placement import weighted_draw

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

    from limpetreel.streams.messages import verdict
    from limpetreel.streams.placement import agent_hint

CHOICES = 4
"""Agents drawn for an offer. The best of a few random ones is nearly as good as the
best of all, takes a fixed time, and entries with the same hints do not all choose the
same agent."""
SPREAD_SECONDS = 0.004
"""Random part of the cost, so that entries do not all try the same agent first."""
REWEIGH_SECONDS = 0.5
"""Interval at which changed service times take effect in the draw."""
LONG_SERVICE_FACTOR = 3
"""Service times for which agents keep room when they let a flow wait."""
MEAN_WEIGHT = 0.05
"""Weight of a new report in the means of the service."""


class ServicePool:
    """Chooses among the agents of one service.

    Parameters
    ----------
    hints : sequence of AgentHint
        The agents.
    data_centre : str
        Data centre of the entry.
    random : random.Random
        Source of the draws.
    """

    def __init__(
        self,
        hints: Sequence[agent_hint.AgentHint],
        data_centre: str,
        random: random.Random,
    ) -> None:
        self.hints = hints
        self._random = random
        local = [h for h in hints if h.record.data_centre == data_centre]
        other = [h for h in hints if h.record.data_centre != data_centre]
        self._groups = [
            weighted_draw.WeightedDraw(g, random) for g in (local, other) if g
        ]
        self._reweighed_at = float("-inf")
        self._mean_load = 0.0
        self._mean_wait = 0.0

    def inherit(self, earlier: ServicePool) -> None:
        """Take the means over from the pool of an earlier list."""
        self._mean_load = earlier._mean_load
        self._mean_wait = earlier._mean_wait

    def record_load(self, message: verdict.Verdict) -> None:
        """Record what an agent of the service reported."""
        load = min(1.0, message.load / 100)
        self._mean_load += MEAN_WEIGHT * (load - self._mean_load)
        if message.wait_ms:
            # Flows are offered for waiting only where most agents are busy.
            wait = message.wait_ms / 1000
            self._mean_wait += MEAN_WEIGHT * (wait - self._mean_wait)

    def choose(self, now: float, tried: set[str]) -> agent_hint.AgentHint | None:
        """Return a good agent for an offer, None if none is known to be free."""
        best = self._best(now, self._draw(now), tried)
        return best or self._best(now, self.hints, tried)

    def least_wait(self, now: float, max_wait: float) -> agent_hint.AgentHint | None:
        """Return the agent that answers soonest, None if a flow can wait at none."""
        for hints in (self._draw(now), self.hints):
            waiting = [
                h
                for h in hints
                if h.is_usable(now) and not h.has_closed_queue(now, max_wait)
            ]
            if waiting:
                return min(waiting, key=lambda h: self._answer_cost(now, h))
        return None

    def _draw(self, now: float) -> list[agent_hint.AgentHint]:
        if now - self._reweighed_at >= REWEIGH_SECONDS:
            self._reweighed_at = now
            for group in self._groups:
                group.reweigh()
        count = CHOICES // max(1, len(self._groups))
        return [h for group in self._groups for h in group.draw(count)]

    def _answer_cost(self, now: float, hint: agent_hint.AgentHint) -> float:
        service = LONG_SERVICE_FACTOR * hint.service_seconds
        return hint.wait(now, self._mean_wait) + service + hint.extra_cost

    def _best(
        self, now: float, hints: Iterable[agent_hint.AgentHint], tried: set[str]
    ) -> agent_hint.AgentHint | None:
        best, lowest = None, float("inf")
        for hint in hints:
            if hint.is_busy(now) or not hint.is_usable(now):
                continue
            if tried and hint.record.name in tried:
                continue
            cost = hint.cost(now, self._mean_load)
            cost += self._random.random() * SPREAD_SECONDS
            if cost < lowest:
                best, lowest = hint, cost
        return best
