"""One run of callers and upstreams under load, with planned changes and loss."""

from __future__ import annotations

import abc
import functools
import itertools
from typing import TYPE_CHECKING

from limpetreel.requests import outcome as outcomes

if TYPE_CHECKING:
    from limpetreel.measure import (
        deployment,
        fake_caller,
        measured_site,
        site_plan,
    )

READY_SECONDS = 9.0
"""Time for elections, joins and the first slow start."""
SETTLE_SECONDS = 25.0
"""Time after the load for the last retransmissions."""
ANSWER_MS = 2000
POST_RATIO = 0.3
BUSY_PART = 0.1
BUSY_REQUESTS = 0.5
ONE_WAY_SECONDS = {3: 0.0015, 4: 0.001}
"""Latency between data centres by their number, as in the two deployments."""
LOSS = 0.001
IMBALANCE_SECONDS = 12.0
"""Time before the drain over which loads are compared; all zones serve then."""


class LoadRun(abc.ABC):
    """Drives the load of one deployment and keeps what the figures need.

    Parameters
    ----------
    spec : Deployment
        Simulated deployment.
    plan : SitePlan
        What happens.
    seed : int
        Seed of the run.
    site : MeasuredSite
        What stands between callers and upstreams.
    """

    def __init__(
        self,
        spec: deployment.Deployment,
        plan: site_plan.SitePlan,
        seed: int,
        site: measured_site.MeasuredSite,
    ) -> None:
        self.spec = spec
        self.plan = plan
        self.measured = site
        self.profiles = spec.profiles(seed)
        self.removed_zone = f"zone-{spec.zones - 1}"
        self.zone_out_accepted_at = 0.0
        self.last_packet_s = 0.0
        self._busy_before: dict[str, float] = {}
        self._busy: dict[str, float] = {}

    def run(self) -> None:
        """Run the plan."""
        self._start()
        queue, plan = self.measured.queue, self.plan
        begin = queue.now
        self._load(begin)
        queue.at(begin + plan.zone_out_at, self._zone_out)
        queue.at(begin + plan.zone_in_at - 0.1, self._note_last_packet)
        queue.at(begin + plan.zone_in_at, self._zone_in)
        queue.at(begin + plan.drain_at - IMBALANCE_SECONDS, self._note_busy)
        queue.at(begin + plan.drain_at, self._note_busy)
        queue.at(begin + plan.drain_at, self._drain)
        queue.at(begin + plan.upstream_restart_at, self._restart_upstream)
        self._plan_changes(begin)
        queue.run_until(begin + plan.end + SETTLE_SECONDS)

    @abc.abstractmethod
    def _start(self) -> None:
        """Start everything; the load begins afterwards."""

    @abc.abstractmethod
    def _plan_changes(self, begin: float) -> None:
        """Schedule what only this site knows."""

    @abc.abstractmethod
    def _zone_out(self) -> None:
        """Take the last zone out of service."""

    @abc.abstractmethod
    def _zone_in(self) -> None:
        """Bring the last zone back."""

    @abc.abstractmethod
    def _restart_upstream(self) -> None:
        """Restart the last upstream of the first class."""

    @abc.abstractmethod
    def _drain(self) -> None:
        """Let the first upstream leave gracefully."""

    def requests(self) -> list[fake_caller.CallerRequest]:
        """Return all requests."""
        return [r for c in self.measured.callers.values() for r in c.requests]

    def broken_flows(self) -> int:
        """Count flows whose upstream changed although it was not taken away."""
        broken = 0
        for caller in self.measured.callers.values():
            served = [r.upstream for r in caller.requests if r.upstream]
            pairs = itertools.pairwise(served)
            broken += any(
                old != new and self._zone(old) != self.removed_zone
                for old, new in pairs
            )
        return broken

    def false_not_run(self) -> int:
        """Count requests that ran although their caller was told otherwise."""
        runs = self._runs()
        refused = outcomes.Outcome.NOT_RUN
        return sum(
            refused in r.received_outcomes and runs.get(r.key, 0) > 0
            for r in self.requests()
        )

    def second_runs(self) -> int:
        """Count non-idempotent requests that ran more than once."""
        runs = self._runs()
        return sum(runs.get(r.key, 0) > 1 for r in self.requests() if not r.idempotent)

    def foreign_answers(self) -> int:
        """Count answers that reached another request."""
        return sum(r.is_foreign for r in self.requests())

    def in_time_ratio(
        self, start: float, end: float, with_returns: bool = False
    ) -> float:
        """Return the part of the requests of a period answered in time.

        Parameters
        ----------
        start, end : float
            Period in seconds after the load has begun.
        with_returns : bool
            Whether a refused request also counts if it was answered in time when
            its caller came back.
        """
        begin = READY_SECONDS
        chosen = [
            r
            for r in self.requests()
            if start <= r.sent_at - begin < end and not r.returns
        ]
        good = 0
        for reply in chosen:
            found: fake_caller.CallerRequest | None = reply
            while found is not None and not _is_in_time(found):
                found = found.later if with_returns else None
            good += found is not None
        return good / max(1, len(chosen))

    def imbalance(self) -> float:
        """Return the highest load over the mean load of a class, worst class.

        The load is the time in service over what the upstream truly bears.
        """
        found = []
        for class_id in range(len(self.spec.class_sizes)):
            loads = [
                (self._busy[f"upstream-{i}"] - self._busy_before[f"upstream-{i}"])
                / profile.slots
                for i, profile in enumerate(self.profiles)
                if self.spec.class_of(i) == class_id
            ]
            found.append(max(loads) * len(loads) / sum(loads))
        return max(found)

    def cold_overload_ratio(self) -> float:
        """Return the part of the cold phases in which an upstream got too much."""
        phases = [
            p for u in self.measured.upstreams.values() for p in u.executor.cold_phases
        ]
        return sum(p.is_overloaded for p in phases) / len(phases)

    def extra_hops(self) -> float:
        """Return relays between agents over packets of callers."""
        return self.measured.relays() / max(1, self.measured.packets)

    def _runs(self) -> dict[str, int]:
        total: dict[str, int] = {}
        for upstream in self.measured.upstreams.values():
            for key, count in upstream.runs.items():
                total[key] = total.get(key, 0) + count
        return total

    def _load(self, begin: float) -> None:
        """Schedule the requests of all connections.

        Each connection sends at least one request; a tenth of the connections sends
        half of all requests.
        """
        site, rng = self.measured, self.measured.rng
        for class_id, count in enumerate(self.spec.class_sizes):
            members = [
                p
                for i, p in enumerate(self.profiles)
                if self.spec.class_of(i) == class_id
            ]
            rate = self.plan.load * sum(p.slots / p.service_seconds for p in members)
            callers = [
                site.add_caller(class_id + 1)
                for _ in range(count * self.plan.connections_per_upstream)
            ]
            busy = max(1, int(len(callers) * BUSY_PART))
            total = int(rate * self.plan.end)
            for i in range(total):
                if rng.random() < BUSY_REQUESTS:
                    chosen = callers[rng.randrange(busy)]
                else:
                    chosen = callers[i % len(callers)]
                idempotent = rng.random() >= POST_RATIO
                request = functools.partial(chosen.request, idempotent)
                site.queue.at(begin + rng.uniform(0, self.plan.end), request)

    def _note_busy(self) -> None:
        self._busy_before = self._busy
        self._busy = {n: u.busy_s for n, u in self.measured.upstreams.items()}

    def _note_last_packet(self) -> None:
        """Note when the removed zone received its last packet."""
        last = max(
            u.last_packet_at
            for n, u in self.measured.upstreams.items()
            if self._zone(n) == self.removed_zone
        )
        self.last_packet_s = max(0.0, last - self.zone_out_accepted_at)

    @property
    def restarted(self) -> str:
        """Name of the upstream that restarts."""
        return f"upstream-{self.spec.class_sizes[0] - 1}"

    def _zone(self, name: str) -> str:
        if name.startswith("entry-"):
            return name.removeprefix("entry-")
        number = int(name.removeprefix("upstream-"))
        return f"zone-{number % self.spec.zones}"


def _is_in_time(reply: fake_caller.CallerRequest) -> bool:
    is_answered = reply.received_outcomes[:1] == [outcomes.Outcome.ANSWERED]
    return is_answered and reply.answered_at - reply.sent_at <= ANSWER_MS / 1000
