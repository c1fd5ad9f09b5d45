"""Upstream with hidden capacity for measurements."""

from __future__ import annotations

import collections
import enum
import math

from limpetreel.measure import cold_phase, upstream_profile

SIGN_SERVICE_TIMES = 3.0
SLOW_ANSWER_RATIO = 2.0


class Arrival(enum.Enum):
    """What an upstream does with a request that arrives."""

    TAKEN = enum.auto()
    SHED = enum.auto()
    FELL_OVER = enum.auto()


class FakeUpstream:
    """Executes requests in slots, starts cold, falls over, sheds.

    While cold it bears one request at first and one more with each equal part of
    its warm-up. A request beyond that makes it fall over: it loses all requests
    without an answer and is cold again, without notice.

    Parameters
    ----------
    profile : UpstreamProfile
        What it bears.
    """

    def __init__(self, profile: upstream_profile.UpstreamProfile) -> None:
        self.profile = profile
        self.phases: list[cold_phase.ColdPhase] = []
        self.is_down = False
        self.finish_at: dict[int, float] = {}
        self._sent_at: dict[int, float] = {}
        self._backlog: collections.deque[tuple[int, float]] = collections.deque()

    def bears(self, now: float) -> int:
        """Return how many requests it bears at once."""
        return 1 + math.floor((self.profile.slots - 1) * self._warmth(now))

    def reported_load(self) -> float:
        """Return the load that its load endpoint reports, which is always wrong."""
        return 0.0

    def arrive(self, now: float, request_id: int, units: float) -> Arrival:
        """Take a request that needs a number of mean service times."""
        if self.is_down:
            return Arrival.SHED
        if self._warmth(now) < 1.0:
            if len(self.finish_at) >= self.bears(now):
                self._fall_over(now)
                return Arrival.FELL_OVER
        elif len(self.finish_at) >= self.profile.slots:
            if len(self._backlog) >= self.profile.backlog:
                return Arrival.SHED
            self._sent_at[request_id] = now
            self._backlog.append((request_id, units))
            return Arrival.TAKEN
        self._sent_at[request_id] = now
        self._start(now, request_id, units)
        return Arrival.TAKEN

    def complete(self, now: float, request_id: int, finish_at: float) -> bool:
        """End a request; return False if it is no longer due at that time."""
        if self.finish_at.get(request_id) != finish_at:
            return False
        self._note_sign(now, self._sent_at[request_id])
        self.cancel(now, request_id)
        return True

    def holds(self, request_id: int) -> bool:
        """Return whether a request runs or waits here."""
        return request_id in self._sent_at

    def cancel(self, now: float, request_id: int) -> None:
        """Drop a request and start the next one of the backlog."""
        self._sent_at.pop(request_id, None)
        self._backlog = collections.deque(
            item for item in self._backlog if item[0] != request_id
        )
        if self.finish_at.pop(request_id, None) is None:
            return
        while self._backlog and len(self.finish_at) < self.bears(now):
            self._start(now, *self._backlog.popleft())

    def stop(self) -> None:
        """Lose all requests and refuse new ones until `start`."""
        self.is_down = True
        self._lose_all()

    def start(self, now: float) -> None:
        """Come up cold, with an announcement."""
        self.is_down = False
        self.phases.append(cold_phase.ColdPhase(now, True, now))

    def turn_cold(self, now: float) -> None:
        """Become cold without notice; requests under way take longer."""
        self._begin_silent_phase(now)
        for request_id, at in list(self.finish_at.items()):
            left = (at - now) * self.profile.cold_factor
            self.finish_at[request_id] = now + left

    def _begin_silent_phase(self, now: float) -> None:
        sign_at = now + SIGN_SERVICE_TIMES * self.profile.service_seconds
        self.phases.append(cold_phase.ColdPhase(now, False, sign_at))

    def _fall_over(self, now: float) -> None:
        phase = self.phases[-1]
        phase.is_overloaded = True
        if now >= phase.sign_at:
            phase.is_overloaded_after_sign = True
        self._lose_all()
        self._begin_silent_phase(now)

    def _lose_all(self) -> None:
        self.finish_at.clear()
        self._sent_at.clear()
        self._backlog.clear()

    def _start(self, now: float, request_id: int, units: float) -> None:
        factor = self.profile.cold_factor
        factor += (1.0 - factor) * self._warmth(now)
        seconds = units * self.profile.service_seconds * factor
        self.finish_at[request_id] = now + seconds

    def _note_sign(self, now: float, sent_at: float) -> None:
        usual = self.profile.service_seconds
        if self.phases and now - sent_at >= SLOW_ANSWER_RATIO * usual:
            phase = self.phases[-1]
            phase.sign_at = min(phase.sign_at, now)

    def _warmth(self, now: float) -> float:
        if not self.phases:
            return 1.0
        passed = now - self.phases[-1].began
        return min(1.0, passed / self.profile.warm_up_seconds)
