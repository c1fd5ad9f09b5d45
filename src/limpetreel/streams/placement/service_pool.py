"""Agents of one service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams.placement import service_means, weighted_draw

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from limpetreel.streams.messages import verdict
    from limpetreel.streams.placement import agent_hint

CHOICES = 4
"""Agents drawn for an offer. The best of a few random ones is nearly as good as the
best of all, takes a fixed time, and entries with the same hints do not all choose the
same agent."""
BALANCE_SECONDS = 0.004
"""Cost of the mean number of open flows; decides among agents whose loads are equal or
unknown, as when many callers open flows before their first requests."""
SPREAD_SECONDS = 0.0005
"""Random part of the cost, so that entries do not all try the same agent first."""
REWEIGH_SECONDS = 0.5
"""Least interval at which changed reports take effect in the draw and the means."""
REWEIGH_SECONDS_PER_AGENT = 0.001
"""Interval for each agent. The work takes about 1 us for each, so this is 0.1 % of a
core; an entry hears from each agent of a large service rarely anyway."""
COUNT_SECONDS = 0.25
"""Age up to which a count of busy agents is used again, for log lines only."""
LONG_SERVICE_FACTOR = 3
"""Service times for which agents keep room when they let a flow wait."""


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
        self._failing = {h.record.name: h for h in hints if h.health.is_failing}
        self._suspended_until = max(h.suspended_until for h in hints)
        self._starting_until = float("-inf")
        self._counted_at = float("-inf")
        self._busy_count = 0
        self._reweigh_seconds = max(
            REWEIGH_SECONDS, REWEIGH_SECONDS_PER_AGENT * len(hints)
        )
        self._reweighed_at = float("-inf")
        self.means = service_means.ServiceMeans()

    def inherit(self, earlier: ServicePool) -> None:
        """Take the means over from the pool of an earlier list."""
        self.means = earlier.means
        self._starting_until = earlier._starting_until
        # The draw of the new list has the present weights already.
        self._reweighed_at = earlier._reweighed_at

    def record_starting(
        self, now: float, hint: agent_hint.AgentHint, seconds: float
    ) -> None:
        """Record that an agent still awaits an announcement of its upstream."""
        hint.avoid(now, seconds)
        # It gets an offer after the pause, and counts as starting until it answers.
        self._starting_until = now + 2 * seconds

    def has_starting(self, now: float) -> bool:
        """Return whether an agent recently answered that it is starting."""
        return now < self._starting_until

    def count_busy(self, now: float) -> int:
        """Return how many agents are known to have no free slot, some time ago."""
        if not self._busy_count or now - self._counted_at >= COUNT_SECONDS:
            self._counted_at = now
            self._busy_count = sum(1 for h in self.hints if h.is_busy(now))
        return self._busy_count

    def record(
        self, now: float, hint: agent_hint.AgentHint, message: verdict.Verdict
    ) -> str:
        """Record a report and return why the upstream is avoided, if it is."""
        hint.record_load(now, message, self.means)
        reason = hint.health.record(message, self.means)
        if reason:
            self._suspend(now, hint)
            self._failing[hint.record.name] = hint
        else:
            self._failing.pop(hint.record.name, None)
        return reason

    def _trial(self, now: float, tried: set[str]) -> agent_hint.AgentHint | None:
        """Return a failing agent that is due for one flow, None if there is none."""
        for name, hint in self._failing.items():
            if hint.is_usable(now) and name not in tried:
                self._suspend(now, hint)
                return hint
        return None

    def choose(
        self, now: float, tried: set[str], is_long: bool
    ) -> agent_hint.AgentHint | None:
        """Return a good agent for an offer, None if none is known to be free.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        tried : set of str
            Agents that have refused the flow.
        is_long : bool
            Whether several requests are expected on the flow.
        """
        trial = self._trial(now, tried) if self._failing else None
        if trial is not None:
            return trial
        cost = self._long_cost if is_long else self._short_cost
        for hints in (self._draw(now), self.hints):
            free = [
                h
                for h in hints
                if not h.is_busy(now)
                and h.is_usable(now)
                and h.record.name not in tried
            ]
            if free:
                return min(free, key=lambda h: cost(now, h) + self._spread())
        for hints in (self._unresponsive(now), self._last_resort(now)):
            left = [
                h for h in hints if not h.is_busy(now) and h.record.name not in tried
            ]
            if left:
                return min(left, key=lambda h: cost(now, h) + self._spread())
        return None

    def _suspend(self, now: float, hint: agent_hint.AgentHint) -> None:
        hint.suspended_until = now + hint.health.pause
        self._suspended_until = max(self._suspended_until, hint.suspended_until)

    def _unresponsive(self, now: float) -> list[agent_hint.AgentHint]:
        """Return the agents whose upstream did not respond lately."""
        return [h for h in self.hints if h.is_unresponsive(now)]

    def _last_resort(self, now: float) -> list[agent_hint.AgentHint]:
        """Return the suspended agents if no other may get offers."""
        is_any_suspended = now < self._suspended_until
        if not is_any_suspended or any(h.is_usable(now) for h in self.hints):
            return []
        return [h for h in self.hints if h.is_reachable(now)]

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
        for hints in (self._unresponsive(now), self._last_resort(now)):
            left = [h for h in hints if not h.has_closed_queue(now, max_wait)]
            if left:
                return min(left, key=lambda h: self._answer_cost(now, h))
        return None

    def _draw(self, now: float) -> list[agent_hint.AgentHint]:
        if now - self._reweighed_at >= self._reweigh_seconds:
            self._reweighed_at = now
            self.means.update(now, self.hints)
            for group in self._groups:
                group.reweigh()
        count = CHOICES // max(1, len(self._groups))
        return [h for group in self._groups for h in group.draw(count)]

    def _spread(self) -> float:
        return SPREAD_SECONDS * self._random.random()

    def _answer_cost(self, now: float, hint: agent_hint.AgentHint) -> float:
        service = LONG_SERVICE_FACTOR * hint.service_seconds
        return hint.wait(now, self.means) + service + hint.extra_cost

    def _long_cost(self, now: float, hint: agent_hint.AgentHint) -> float:
        return hint.long_cost(now, self.means)

    def _short_cost(self, now: float, hint: agent_hint.AgentHint) -> float:
        balance = BALANCE_SECONDS * hint.flow_share(now, self.means)
        return hint.short_cost(now, self.means) + balance
