"""Load and faults of an admission measurement."""

from __future__ import annotations

import random

import msgspec

from limpetreel.measure import arrival_event, deployment, upstream_profile

BUSY_CONNECTION_RATIO = 0.1
BUSY_REQUEST_RATIO = 0.8
"""A tenth of the connections sends most requests; the others are nearly idle."""

NEW_FLOW_PROBABILITY = 0.05
SERVICE_TIME_SIGMA = 0.3
"""Standard deviation of the logarithm of the service time."""

RAMP_START_RATIO = 0.4
"""Initial load as a ratio of the full load, which is reached during the warm-up."""


class Scenario(msgspec.Struct, frozen=True):
    """Load and faults of one run.

    Attributes
    ----------
    load : float
        Offered load over the true capacity of each class.
    warm_up_seconds : float
        Time before the measured period.
    measured_seconds : float
        Length of the measured period.
    has_cold_phases : bool
        Whether each upstream restarts once and becomes cold once unannounced.
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
        spec: deployment.Deployment,
        profiles: list[upstream_profile.UpstreamProfile],
        seed: int,
    ) -> list[arrival_event.ArrivalEvent]:
        """Return the requests of all classes in order of time."""
        rng = random.Random(seed)
        requests: list[arrival_event.ArrivalEvent] = []
        for class_id, upstream_count in enumerate(spec.class_sizes):
            members = [
                p for i, p in enumerate(profiles) if spec.class_of(i) == class_id
            ]
            rate = self.load * sum(p.slots / p.service_seconds for p in members)
            connections = upstream_count * spec.connections_per_upstream
            now = 0.0
            while True:
                now += rng.expovariate(rate)
                if now >= self.end:
                    break
                if rng.random() > self._ramp(now):
                    continue
                requests.append(
                    self._arrival(rng, now, class_id, connections, len(requests))
                )
        return sorted(requests, key=lambda a: a.at)

    def _ramp(self, now: float) -> float:
        progress = min(1.0, now / (0.75 * self.warm_up_seconds))
        return RAMP_START_RATIO + (1.0 - RAMP_START_RATIO) * progress

    def _arrival(
        self,
        rng: random.Random,
        now: float,
        class_id: int,
        connections: int,
        request_id: int,
    ) -> arrival_event.ArrivalEvent:
        busy_connections = max(1, int(connections * BUSY_CONNECTION_RATIO))
        if rng.random() < BUSY_REQUEST_RATIO:
            connection = rng.randrange(busy_connections)
        else:
            connection = rng.randrange(connections)
        log_mean = -(SERVICE_TIME_SIGMA**2) / 2
        return arrival_event.ArrivalEvent(
            at=now,
            request_id=request_id,
            class_id=class_id,
            connection=connection,
            is_new_flow=rng.random() < NEW_FLOW_PROBABILITY,
            units=rng.lognormvariate(log_mean, SERVICE_TIME_SIGMA),
        )
