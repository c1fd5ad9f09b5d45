"""Run of a site under load, with planned changes and packet loss."""

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
"""Time for elections, joins and the first slow start, before the load."""
SETTLE_SECONDS = 25.0
"""Time for the last retransmissions, after the load."""
ANSWER_MS = 2000
POST_RATIO = 0.3
BUSY_CONNECTION_RATIO = 0.1
BUSY_REQUEST_RATIO = 0.5
ONE_WAY_SECONDS = {3: 0.0015, 4: 0.001}
"""Latency between data centres by their number, as in the two deployments."""
LOSS = 0.001
IMBALANCE_PERIOD_SECONDS = 12.0
"""Period before the drain over which loads are compared; all zones serve then."""


class LoadRun(abc.ABC):
    """Runs the load of one deployment and collects the results.

    Parameters
    ----------
    spec : Deployment
        Simulated deployment.
    plan : SitePlan
        Planned events.
    seed : int
        Seed of the run.
    site : MeasuredSite
        Simulated site.
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
        self.measured_site = site
        self.profiles = spec.profiles(seed)
        self.removed_zone = f"zone-{spec.zones - 1}"
        self.zone_out_accepted_at = 0.0
        self.last_packet_s = 0.0
        self._earlier_busy_s: dict[str, float] = {}
        self._busy_s: dict[str, float] = {}

    def run(self) -> None:
        """Run the plan."""
        self._start()
        queue, plan = self.measured_site.queue, self.plan
        begin = queue.now
        self._schedule_requests(begin)
        queue.at(begin + plan.zone_out_at, self._zone_out)
        queue.at(begin + plan.zone_in_at - 0.1, self._record_last_packet)
        queue.at(begin + plan.zone_in_at, self._zone_in)
        queue.at(
            begin + plan.drain_at - IMBALANCE_PERIOD_SECONDS, self._record_busy_time
        )
        queue.at(begin + plan.drain_at, self._record_busy_time)
        queue.at(begin + plan.drain_at, self._drain)
        queue.at(begin + plan.upstream_restart_at, self._restart_upstream)
        self._plan_changes(begin)
        queue.run_until(begin + plan.end + SETTLE_SECONDS)

    @abc.abstractmethod
    def _start(self) -> None:
        """Start the site; the load begins afterwards."""

    @abc.abstractmethod
    def _plan_changes(self, begin: float) -> None:
        """Schedule the events that only some sites support."""

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
        """Return all requests of all callers."""
        return [r for c in self.measured_site.callers.values() for r in c.requests]

    def broken_flows(self) -> int:
        """Count flows that left an upstream whose zone was not taken out."""
        broken_count = 0
        for caller in self.measured_site.callers.values():
            upstreams = [r.upstream for r in caller.requests if r.upstream]
            pairs = itertools.pairwise(upstreams)
            broken_count += any(
                old != new and self._zone(old) != self.removed_zone
                for old, new in pairs
            )
        return broken_count

    def false_not_run(self) -> int:
        """Count requests that ran although their caller was told that they did not."""
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
        """Count requests that received an answer to another request."""
        return sum(r.is_foreign for r in self.requests())

    def in_time_ratio(
        self, start: float, end: float, with_retries: bool = False
    ) -> float:
        """Return the ratio of requests of a period that were answered in time.

        Parameters
        ----------
        start, end : float
            Period in seconds after the start of the load.
        with_retries : bool
            Whether a refused request also counts if a retry of it was answered in
            time.
        """
        begin = READY_SECONDS
        requests = [
            r
            for r in self.requests()
            if start <= r.sent_at - begin < end and not r.retries
        ]
        in_time_count = 0
        for request in requests:
            attempt: fake_caller.CallerRequest | None = request
            while attempt is not None and not _is_in_time(attempt):
                attempt = attempt.retry if with_retries else None
            in_time_count += attempt is not None
        return in_time_count / max(1, len(requests))

    def imbalance(self) -> float:
        """Return the maximum over the mean load of the upstreams, for the worst class.

        The load of an upstream is its service time over its slots.
        """
        imbalances = []
        for class_id in range(len(self.spec.class_sizes)):
            loads = [
                (self._busy_s[f"upstream-{i}"] - self._earlier_busy_s[f"upstream-{i}"])
                / profile.slots
                for i, profile in enumerate(self.profiles)
                if self.spec.class_of(i) == class_id
            ]
            imbalances.append(max(loads) * len(loads) / sum(loads))
        return max(imbalances)

    def cold_overload_ratio(self) -> float:
        """Return the ratio of cold phases in which an upstream was overloaded."""
        phases = [
            p
            for u in self.measured_site.upstreams.values()
            for p in u.executor.cold_phases
        ]
        return sum(p.is_overloaded for p in phases) / len(phases)

    def extra_hops(self) -> float:
        """Return the relays between agents per packet of a caller."""
        return self.measured_site.relay_count() / max(
            1, self.measured_site.packet_count
        )

    def _runs(self) -> dict[str, int]:
        runs: dict[str, int] = {}
        for upstream in self.measured_site.upstreams.values():
            for key, count in upstream.runs.items():
                runs[key] = runs.get(key, 0) + count
        return runs

    def _schedule_requests(self, begin: float) -> None:
        """Schedule the requests of all connections.

        Each connection sends at least one request; a tenth of the connections sends
        half of all requests.
        """
        site, rng = self.measured_site, self.measured_site.rng
        for class_id, upstream_count in enumerate(self.spec.class_sizes):
            members = [
                p
                for i, p in enumerate(self.profiles)
                if self.spec.class_of(i) == class_id
            ]
            rate = self.plan.load * sum(p.slots / p.service_seconds for p in members)
            callers = [
                site.add_caller(class_id + 1)
                for _ in range(upstream_count * self.plan.connections_per_upstream)
            ]
            busy_count = max(1, int(len(callers) * BUSY_CONNECTION_RATIO))
            request_count = int(rate * self.plan.end)
            for i in range(request_count):
                if rng.random() < BUSY_REQUEST_RATIO:
                    caller = callers[rng.randrange(busy_count)]
                else:
                    caller = callers[i % len(callers)]
                idempotent = rng.random() >= POST_RATIO
                send_request = functools.partial(caller.request, idempotent)
                site.queue.at(begin + rng.uniform(0, self.plan.end), send_request)

    def _record_busy_time(self) -> None:
        self._earlier_busy_s = self._busy_s
        self._busy_s = {n: u.busy_s for n, u in self.measured_site.upstreams.items()}

    def _record_last_packet(self) -> None:
        """Record when the removed zone received its last packet."""
        last = max(
            u.last_packet_at
            for n, u in self.measured_site.upstreams.items()
            if self._zone(n) == self.removed_zone
        )
        self.last_packet_s = max(0.0, last - self.zone_out_accepted_at)

    @property
    def restarted_upstream(self) -> str:
        """Name of the upstream that restarts during the run."""
        return f"upstream-{self.spec.class_sizes[0] - 1}"

    def _zone(self, name: str) -> str:
        if name.startswith("entry-"):
            return name.removeprefix("entry-")
        number = int(name.removeprefix("upstream-"))
        return f"zone-{number % self.spec.zones}"


def _is_in_time(request: fake_caller.CallerRequest) -> bool:
    is_answered = request.received_outcomes[:1] == [outcomes.Outcome.ANSWERED]
    return is_answered and request.answered_at - request.sent_at <= ANSWER_MS / 1000
