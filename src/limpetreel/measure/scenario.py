"""Input of one run of the measurement."""

from __future__ import annotations

import random

import msgspec

from limpetreel.measure import arrival_event, deployment, upstream_profile

BUSY_PART = 0.1
BUSY_REQUESTS = 0.8
"""A tenth of the connections sends most requests; the others are nearly idle."""

NEW_FLOW_PROBABILITY = 0.05
SERVICE_DEVIATION = 0.3
"""Deviation of the logarithm of the service time."""

RAMP_START = 0.4
"""Part of the load at the beginning; the load rises until measuring begins."""


class Scenario(msgspec.Struct, frozen=True):
    """Load and faults of one run.

    Attributes
    ----------
    load : float
        Offered load over the true capacity of each class.
    warm_up_seconds : float
        Time before measuring begins.
    measured_seconds : float
        Time that is measured.
    has_cold_phases : bool
        Whether each upstream restarts once and turns cold once without notice.
    """

    load: float
    warm_up_seconds: float
    measured_seconds: float
    has_cold_phases: bool = False

    @property
    def end(self) -> float:
        """End of the arrivals in seconds."""
        return self.warm_up_seconds + self.measured_seconds

    def arrivals(
        self,
        size: deployment.Deployment,
        profiles: list[upstream_profile.UpstreamProfile],
        seed: int,
    ) -> list[arrival_event.ArrivalEvent]:
        """Return the requests of all classes in order of time."""
        rng = random.Random(seed)
        made: list[arrival_event.ArrivalEvent] = []
        for class_id, count in enumerate(size.class_sizes):
            members = [
                p for i, p in enumerate(profiles) if size.class_of(i) == class_id
            ]
            rate = self.load * sum(p.slots / p.service_seconds for p in members)
            connections = count * size.connections_each
            now = 0.0
            while True:
                now += rng.expovariate(rate)
                if now >= self.end:
                    break
                if rng.random() > self._ramp(now):
                    continue
                made.append(self._arrival(rng, now, class_id, connections, len(made)))
        return sorted(made, key=lambda a: a.at)

    def _ramp(self, now: float) -> float:
        part = min(1.0, now / (0.75 * self.warm_up_seconds))
        return RAMP_START + (1.0 - RAMP_START) * part

    def _arrival(
        self,
        rng: random.Random,
        now: float,
        class_id: int,
        connections: int,
        request_id: int,
    ) -> arrival_event.ArrivalEvent:
        busy = max(1, int(connections * BUSY_PART))
        if rng.random() < BUSY_REQUESTS:
            connection = rng.randrange(busy)
        else:
            connection = rng.randrange(connections)
        shift = -(SERVICE_DEVIATION**2) / 2
        return arrival_event.ArrivalEvent(
            at=now,
            request_id=request_id,
            class_id=class_id,
            connection=connection,
            is_new_flow=rng.random() < NEW_FLOW_PROBABILITY,
            units=rng.lognormvariate(shift, SERVICE_DEVIATION),
        )
