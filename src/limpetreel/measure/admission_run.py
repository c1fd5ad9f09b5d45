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

_DONE, _SHED, _STOP, _START, _COLD, _TICK, _ARRIVAL = range(7)


class AdmissionRun(transport.Transport):
    """Runs one policy on one scenario and keeps what was seen.

    Parameters
    ----------
    size : Deployment
        The deployment.
    load : Scenario
        Load and faults.
    profiles : list of UpstreamProfile
        The upstreams.
    arrivals : list of ArrivalEvent
        Requests in order of time.
    seed : int
        Seed of the faults.
    """

    def __init__(
        self,
        size: deployment.Deployment,
        load: scenario.Scenario,
        profiles: list[upstream_profile.UpstreamProfile],
        arrivals: list[arrival_event.ArrivalEvent],
        seed: int,
    ) -> None:
        self._size = size
        self._load = load
        self.upstreams = [fake_upstream.FakeUpstream(p) for p in profiles]
        self._arrivals = {a.request_id: a for a in arrivals}
        self._events: list[tuple[float, int, int, int, int]] = []
        self._sequence = 0
        self._answered: set[int] = set()
        self._planned: dict[int, float] = {}
        self._sent = [0] * len(profiles)
        self.refused = 0
        for item in arrivals:
            self._push(item.at, _ARRIVAL, 0, item.request_id)
        for i in range(int((load.end + ANSWER_SECONDS) / TICK_SECONDS)):
            self._push(i * TICK_SECONDS, _TICK, 0, 0)
        if load.has_cold_phases:
            self._plan_cold_phases(random.Random(seed))

    def run(
        self, make: Callable[[transport.Transport], policy.Policy]
    ) -> policy.Policy:
        """Run all events and return the policy."""
        chosen = make(self)
        while self._events:
            now, _, kind, index, request_id = heapq.heappop(self._events)
            self._handle(chosen, now, kind, index, request_id)
        return chosen

    def send(self, now: float, index: int, request_id: int) -> None:
        """Send a request to an upstream."""
        upstream = self.upstreams[index]
        arrival = self._arrivals[request_id]
        if arrival.at >= self._load.warm_up_seconds:
            self._sent[index] += 1
        got = upstream.arrive(now, request_id, arrival.units)
        if got is fake_upstream.Arrival.SHED:
            self._push(now, _SHED, index, request_id)
        self._plan_finish(index)

    def cancel(self, now: float, index: int, request_id: int) -> None:
        """Send an upstream a cancellation."""
        self.upstreams[index].cancel(now, request_id)
        self._plan_finish(index)

    def refuse(self, now: float, request_id: int) -> None:
        """Refuse a request as not run."""
        self.refused += 1

    def in_time_ratio(self) -> float:
        """Return the part of the measured requests that was answered in time."""
        measured = [a for a in self._arrivals.values() if self._is_measured(a)]
        return sum(a.request_id in self._answered for a in measured) / len(measured)

    def goodput_ratio(self) -> float:
        """Return answers in time over the true capacity, lowest of the classes."""
        lowest = float("inf")
        for class_id in range(len(self._size.class_sizes)):
            good = sum(
                a.class_id == class_id and self._is_measured(a)
                for a in (self._arrivals[r] for r in self._answered)
            )
            bears = sum(
                u.profile.slots / u.profile.service_seconds
                for i, u in enumerate(self.upstreams)
                if self._size.class_of(i) == class_id
            )
            lowest = min(lowest, good / (bears * self._load.measured_seconds))
        return lowest

    def imbalance(self) -> float:
        """Return load over what an upstream bears, max over mean, highest class."""
        highest = 0.0
        for class_id in range(len(self._size.class_sizes)):
            loads = [
                self._sent[i] * u.profile.service_seconds / u.profile.slots
                for i, u in enumerate(self.upstreams)
                if self._size.class_of(i) == class_id
            ]
            highest = max(highest, max(loads) * len(loads) / sum(loads))
        return highest

    def phases(self) -> list[cold_phase.ColdPhase]:
        """Return the cold phases of all upstreams."""
        return [p for u in self.upstreams for p in u.phases]

    def _is_measured(self, arrival: arrival_event.ArrivalEvent) -> bool:
        return arrival.at >= self._load.warm_up_seconds

    def _handle(
        self, chosen: policy.Policy, now: float, kind: int, index: int, request_id: int
    ) -> None:
        upstream = self.upstreams[index]
        if kind == _ARRIVAL:
            chosen.request(self._arrivals[request_id])
        elif kind == _DONE:
            if upstream.complete(now, request_id, now):
                if now - self._arrivals[request_id].at <= ANSWER_SECONDS:
                    self._answered.add(request_id)
                self._plan_finish(index)
                chosen.answered(now, index, request_id, False)
        elif kind == _SHED:
            chosen.answered(now, index, request_id, True)
        elif kind == _STOP:
            upstream.stop()
        elif kind == _START:
            upstream.start(now)
            chosen.restarted(now, index)
        elif kind == _COLD:
            upstream.turn_cold(now)
            self._plan_finish(index)
        else:
            chosen.tick(now)

    def _plan_finish(self, index: int) -> None:
        """Plan the ends of requests that the upstream has started."""
        for request_id, at in self.upstreams[index].finish_at.items():
            if self._planned.get(request_id) != at:
                self._planned[request_id] = at
                self._push(at, _DONE, index, request_id)

    def _plan_cold_phases(self, rng: random.Random) -> None:
        """Plan a restart and a silent cold phase for each upstream.

        They are spread evenly, so that few upstreams are cold at once.
        """
        count = len(self.upstreams)
        order = rng.sample(range(2 * count), 2 * count)
        step = self._load.measured_seconds / (2 * count)
        for i, place in enumerate(order):
            at = self._load.warm_up_seconds + (place + rng.random()) * step
            if i < count:
                down = rng.uniform(MIN_DOWN_SECONDS, MAX_DOWN_SECONDS)
                self._push(at, _STOP, i, 0)
                self._push(at + down, _START, i, 0)
            else:
                self._push(at, _COLD, i - count, 0)

    def _push(self, at: float, kind: int, index: int, request_id: int) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, kind, index, request_id))
