"""Discrete-event run of a policy against fake upstreams."""

from __future__ import annotations

import heapq
import random
from typing import TYPE_CHECKING

from limpetreel.measure import fake_upstream, transport

if TYPE_CHECKING:
    from collections.abc import Callable

    from limpetreel.measure import (
        arrival_event,
        cold_phase,
        deployment,
        policy,
        scenario,
        upstream_profile,
    )

TICK_SECONDS = 0.05
ANSWER_SECONDS = 2.0
MIN_DOWN_SECONDS = 0.5
MAX_DOWN_SECONDS = 2.0

_DONE, _SHED, _STOP, _START, _TURN_COLD, _TICK, _ARRIVAL = range(7)


class AdmissionRun(transport.Transport):
    """Runs one policy on one scenario and collects the results.

    Parameters
    ----------
    spec : Deployment
        Simulated deployment.
    workload : Scenario
        Load and faults of the run.
    profiles : list of UpstreamProfile
        Properties of the upstreams.
    arrivals : list of ArrivalEvent
        Requests in order of time.
    seed : int
        Seed of the faults.
    """

    def __init__(
        self,
        spec: deployment.Deployment,
        workload: scenario.Scenario,
        profiles: list[upstream_profile.UpstreamProfile],
        arrivals: list[arrival_event.ArrivalEvent],
        seed: int,
    ) -> None:
        self._spec = spec
        self._workload = workload
        self.upstreams = [fake_upstream.FakeUpstream(p) for p in profiles]
        self._arrivals = {a.request_id: a for a in arrivals}
        self._event_heap: list[tuple[float, int, int, int, int]] = []
        self._sequence = 0
        self._answered_in_time: set[int] = set()
        self._scheduled_finish: dict[int, float] = {}
        self._sent_counts = [0] * len(profiles)
        self.refused = 0
        for arrival in arrivals:
            self._push(arrival.at, _ARRIVAL, 0, arrival.request_id)
        for i in range(int((workload.end + ANSWER_SECONDS) / TICK_SECONDS)):
            self._push(i * TICK_SECONDS, _TICK, 0, 0)
        if workload.has_cold_phases:
            self._schedule_cold_phases(random.Random(seed))

    def run(
        self, policy_factory: Callable[[transport.Transport], policy.Policy]
    ) -> policy.Policy:
        """Run all events and return the policy."""
        active_policy = policy_factory(self)
        while self._event_heap:
            now, _, kind, index, request_id = heapq.heappop(self._event_heap)
            self._handle(active_policy, now, kind, index, request_id)
        return active_policy

    def send(self, now: float, index: int, request_id: int) -> None:
        """Send a request to an upstream."""
        upstream = self.upstreams[index]
        arrival = self._arrivals[request_id]
        if arrival.at >= self._workload.warm_up_seconds:
            self._sent_counts[index] += 1
        result = upstream.arrive(now, request_id, arrival.units)
        if result is fake_upstream.Arrival.SHED:
            self._push(now, _SHED, index, request_id)
        self._schedule_completions(index)

    def cancel(self, now: float, index: int, request_id: int) -> None:
        """Cancel a request at an upstream."""
        self.upstreams[index].cancel(now, request_id)
        self._schedule_completions(index)

    def refuse(self, now: float, request_id: int) -> None:
        """Refuse a request as not run."""
        self.refused += 1

    def in_time_ratio(self) -> float:
        """Return the ratio of measured requests that were answered in time."""
        measured = [a for a in self._arrivals.values() if self._is_measured(a)]
        return sum(a.request_id in self._answered_in_time for a in measured) / len(
            measured
        )

    def goodput_ratio(self) -> float:
        """Return answers in time over the true capacity, for the worst class."""
        lowest = float("inf")
        for class_id in range(len(self._spec.class_sizes)):
            answered_count = sum(
                a.class_id == class_id and self._is_measured(a)
                for a in (self._arrivals[r] for r in self._answered_in_time)
            )
            capacity = sum(
                u.profile.slots / u.profile.service_seconds
                for i, u in enumerate(self.upstreams)
                if self._spec.class_of(i) == class_id
            )
            lowest = min(
                lowest, answered_count / (capacity * self._workload.measured_seconds)
            )
        return lowest

    def imbalance(self) -> float:
        """Return the maximum over the mean load of the upstreams, for the worst class.

        The load of an upstream is the work sent to it over its slots.
        """
        highest = 0.0
        for class_id in range(len(self._spec.class_sizes)):
            loads = [
                self._sent_counts[i] * u.profile.service_seconds / u.profile.slots
                for i, u in enumerate(self.upstreams)
                if self._spec.class_of(i) == class_id
            ]
            highest = max(highest, max(loads) * len(loads) / sum(loads))
        return highest

    def cold_phases(self) -> list[cold_phase.ColdPhase]:
        """Return the cold phases of all upstreams."""
        return [p for u in self.upstreams for p in u.cold_phases]

    def _is_measured(self, arrival: arrival_event.ArrivalEvent) -> bool:
        return arrival.at >= self._workload.warm_up_seconds

    def _handle(
        self,
        active_policy: policy.Policy,
        now: float,
        kind: int,
        index: int,
        request_id: int,
    ) -> None:
        upstream = self.upstreams[index]
        if kind == _ARRIVAL:
            active_policy.handle_request(self._arrivals[request_id])
        elif kind == _DONE:
            if upstream.complete(now, request_id, now):
                if now - self._arrivals[request_id].at <= ANSWER_SECONDS:
                    self._answered_in_time.add(request_id)
                self._schedule_completions(index)
                active_policy.handle_answer(now, index, request_id, False)
        elif kind == _SHED:
            active_policy.handle_answer(now, index, request_id, True)
        elif kind == _STOP:
            upstream.stop()
        elif kind == _START:
            upstream.start(now)
            active_policy.handle_restart(now, index)
        elif kind == _TURN_COLD:
            upstream.turn_cold(now)
            self._schedule_completions(index)
        else:
            active_policy.tick(now)

    def _schedule_completions(self, index: int) -> None:
        """Schedule the completion of requests that the upstream has started."""
        for request_id, finish_at in self.upstreams[index].finish_at.items():
            if self._scheduled_finish.get(request_id) != finish_at:
                self._scheduled_finish[request_id] = finish_at
                self._push(finish_at, _DONE, index, request_id)

    def _schedule_cold_phases(self, rng: random.Random) -> None:
        """Schedule a restart and an unannounced cold phase for each upstream.

        They are spread evenly over the run, so that few upstreams are cold at once.
        """
        count = len(self.upstreams)
        order = rng.sample(range(2 * count), 2 * count)
        slot_seconds = self._workload.measured_seconds / (2 * count)
        for i, slot in enumerate(order):
            at = self._workload.warm_up_seconds + (slot + rng.random()) * slot_seconds
            if i < count:
                down_seconds = rng.uniform(MIN_DOWN_SECONDS, MAX_DOWN_SECONDS)
                self._push(at, _STOP, i, 0)
                self._push(at + down_seconds, _START, i, 0)
            else:
                self._push(at, _TURN_COLD, i - count, 0)

    def _push(self, at: float, kind: int, index: int, request_id: int) -> None:
        self._sequence += 1
        heapq.heappush(self._event_heap, (at, self._sequence, kind, index, request_id))
