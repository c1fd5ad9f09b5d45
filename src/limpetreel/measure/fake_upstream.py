"""Simulated upstream whose capacity is hidden from the balancer."""

from __future__ import annotations

import collections
import enum
import math

from limpetreel.measure import cold_phase, upstream_profile

DETECTION_SERVICE_TIMES = 3.0
SLOW_ANSWER_RATIO = 2.0


class Arrival(enum.Enum):
    """Result of the arrival of a request at an upstream."""

    ACCEPTED = enum.auto()
    SHED = enum.auto()
    CRASHED = enum.auto()


class FakeUpstream:
    """Runs requests in slots, with a cold start, crashes on overload and shedding.

    While cold it runs one request at a time, and one more with each equal part of
    its warm-up. A request beyond that crashes it: it loses all requests without an
    answer and starts another cold phase without an announcement.

    Parameters
    ----------
    profile : UpstreamProfile
        Capacity and service times.
    """

    def __init__(self, profile: upstream_profile.UpstreamProfile) -> None:
        self.profile = profile
        self.cold_phases: list[cold_phase.ColdPhase] = []
        self.is_down = False
        self.finish_at: dict[int, float] = {}
        self._sent_at: dict[int, float] = {}
        self._backlog: collections.deque[tuple[int, float]] = collections.deque()

    def max_concurrency(self, now: float) -> int:
        """Return how many requests may run at once."""
        return 1 + math.floor((self.profile.slots - 1) * self._warm_up_progress(now))

    def reported_load(self) -> float:
        """Return the load that its load endpoint reports, which is always wrong."""
        return 0.0

    def arrive(self, now: float, request_id: int, units: float) -> Arrival:
        """Accept a request of `units` mean service times, shed it or crash."""
        if self.is_down:
            return Arrival.SHED
        if self._warm_up_progress(now) < 1.0:
            if len(self.finish_at) >= self.max_concurrency(now):
                self._crash(now)
                return Arrival.CRASHED
        elif len(self.finish_at) >= self.profile.slots:
            if len(self._backlog) >= self.profile.backlog:
                return Arrival.SHED
            self._sent_at[request_id] = now
            self._backlog.append((request_id, units))
            return Arrival.ACCEPTED
        self._sent_at[request_id] = now
        self._start(now, request_id, units)
        return Arrival.ACCEPTED

    def complete(self, now: float, request_id: int, finish_at: float) -> bool:
        """Complete a request; return False if it is no longer due at that time."""
        if self.finish_at.get(request_id) != finish_at:
            return False
        self._update_detectable_at(now, self._sent_at[request_id])
        self.cancel(now, request_id)
        return True

    def has_request(self, request_id: int) -> bool:
        """Return whether a request is running or in the backlog."""
        return request_id in self._sent_at

    def cancel(self, now: float, request_id: int) -> None:
        """Drop a request and start waiting ones in the free slots."""
        self._sent_at.pop(request_id, None)
        self._backlog = collections.deque(
            waiting for waiting in self._backlog if waiting[0] != request_id
        )
        if self.finish_at.pop(request_id, None) is None:
            return
        while self._backlog and len(self.finish_at) < self.max_concurrency(now):
            self._start(now, *self._backlog.popleft())

    def stop(self) -> None:
        """Lose all requests and shed new ones until `start`."""
        self.is_down = True
        self._drop_all_requests()

    def start(self, now: float) -> None:
        """Start a cold phase that is announced."""
        self.is_down = False
        self.cold_phases.append(cold_phase.ColdPhase(now, True, now))

    def turn_cold(self, now: float) -> None:
        """Start an unannounced cold phase; running requests take longer."""
        self._begin_unannounced_phase(now)
        for request_id, finish_at in list(self.finish_at.items()):
            remaining = (finish_at - now) * self.profile.cold_factor
            self.finish_at[request_id] = now + remaining

    def _begin_unannounced_phase(self, now: float) -> None:
        detectable_at = now + DETECTION_SERVICE_TIMES * self.profile.service_seconds
        self.cold_phases.append(cold_phase.ColdPhase(now, False, detectable_at))

    def _crash(self, now: float) -> None:
        phase = self.cold_phases[-1]
        phase.is_overloaded = True
        if now >= phase.detectable_at:
            phase.is_overloaded_when_detectable = True
        self._drop_all_requests()
        self._begin_unannounced_phase(now)

    def _drop_all_requests(self) -> None:
        self.finish_at.clear()
        self._sent_at.clear()
        self._backlog.clear()

    def _start(self, now: float, request_id: int, units: float) -> None:
        factor = self.profile.cold_factor
        factor += (1.0 - factor) * self._warm_up_progress(now)
        seconds = units * self.profile.service_seconds * factor
        self.finish_at[request_id] = now + seconds

    def _update_detectable_at(self, now: float, sent_at: float) -> None:
        mean_seconds = self.profile.service_seconds
        if self.cold_phases and now - sent_at >= SLOW_ANSWER_RATIO * mean_seconds:
            phase = self.cold_phases[-1]
            phase.detectable_at = min(phase.detectable_at, now)

    def _warm_up_progress(self, now: float) -> float:
        if not self.cold_phases:
            return 1.0
        elapsed = now - self.cold_phases[-1].started_at
        return min(1.0, elapsed / self.profile.warm_up_seconds)
