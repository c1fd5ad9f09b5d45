"""Means over the agents of one service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams.placement import agent_hint

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limpetreel.streams.messages import verdict

MEAN_WEIGHT = 0.05
"""Weight of a new report in the moving averages."""
INITIAL_DEMAND_PER_S = 1.0
"""Assumed requests per second on an open flow until utilisation is reported."""


class ServiceMeans:
    """What is assumed of agents without a recent report.

    Its attributes are means: `load` the occupied part of the capacity, `wait_seconds`
    the reported waits, `service_seconds` the service time with its median beside it,
    `demand` the requests per second on one open flow, `flows_per_weight` the open flows
    over the requests per second that upstreams can answer, and `utilisation` the part
    of the slot time.
    """

    __slots__ = (
        "demand",
        "flows_per_weight",
        "load",
        "median_service_seconds",
        "service_seconds",
        "utilisation",
        "wait_seconds",
    )

    def __init__(self) -> None:
        self.load = 0.0
        self.wait_seconds = 0.0
        self.service_seconds = agent_hint.INITIAL_SERVICE_SECONDS
        self.median_service_seconds = float("inf")
        self.demand = INITIAL_DEMAND_PER_S
        self.flows_per_weight = 0.0
        self.utilisation = 0.0

    def record(self, message: verdict.Verdict) -> None:
        """Record what an agent reported."""
        load = min(1.0, message.load / 100)
        self.load += MEAN_WEIGHT * (load - self.load)
        if message.wait_ms:
            # Flows are offered for waiting only where most agents are busy.
            wait = message.wait_ms / 1000
            self.wait_seconds += MEAN_WEIGHT * (wait - self.wait_seconds)

    def update(self, now: float, hints: Iterable[agent_hint.AgentHint]) -> None:
        """Compute the means over the agents with a recent report."""
        flows = requests = weight = slots = 0.0
        recent: list[agent_hint.AgentHint] = []
        silent: list[agent_hint.AgentHint] = []
        for hint in hints:
            (recent if hint.has_flow_report(now) else silent).append(hint)
        for hint in recent:
            flows += hint.flows
            requests += hint.utilisation * hint.weight
            weight += hint.weight
            slots += hint.slots
        if not recent:
            return
        times = sorted(h.service_seconds for h in recent)
        self.median_service_seconds = times[(len(times) - 1) // 2]
        for hint in silent:
            # Otherwise one that was slow once would never be asked again.
            hint.set_service_seconds(self.median_service_seconds)
        self.service_seconds = slots / weight
        self.utilisation = requests / weight
        self.flows_per_weight = flows / weight
        if requests and flows:
            self.demand = requests / flows
