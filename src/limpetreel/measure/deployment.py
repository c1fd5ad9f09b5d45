"""Deployments that are simulated for the measurements."""

from __future__ import annotations

import random

import msgspec

from limpetreel.catalog import member_record, member_state, role
from limpetreel.measure import upstream_profile

SERVICE_TIME_RATIO = 10.0
FASTEST_SERVICE_SECONDS = 0.03
MIN_WARM_UP_SECONDS = 2.0
MAX_WARM_UP_SECONDS = 6.0
INITIAL_SHARE = 8


class Deployment(msgspec.Struct, frozen=True):
    """Upstreams, zones and connections of a simulated deployment.

    Attributes
    ----------
    name : str
        Name in the printed measurements.
    class_sizes : tuple of int
        Number of upstreams in each class.
    zones : int
        Number of zones.
    slots : int
        Requests that each upstream runs at once.
    connections_per_upstream : int
        Number of connections per upstream.
    """

    name: str
    class_sizes: tuple[int, ...]
    zones: int
    slots: int
    connections_per_upstream: int = 2000

    def profiles(self, seed: int) -> list[upstream_profile.UpstreamProfile]:
        """Return the upstream profiles; each class has a fastest and a slowest one."""
        rng = random.Random(seed)
        profiles = []
        for upstream_count in self.class_sizes:
            exponents = [0.0, 1.0] + [rng.random() for _ in range(upstream_count - 2)]
            for exponent in exponents:
                service_seconds = FASTEST_SERVICE_SECONDS * SERVICE_TIME_RATIO**exponent
                warm_up_seconds = rng.uniform(MIN_WARM_UP_SECONDS, MAX_WARM_UP_SECONDS)
                profiles.append(
                    upstream_profile.UpstreamProfile(
                        self.slots, service_seconds, warm_up_seconds
                    )
                )
        return profiles

    def class_of(self, index: int) -> int:
        """Return the class of an upstream by its index."""
        for class_id, upstream_count in enumerate(self.class_sizes):
            if index < upstream_count:
                return class_id
            index -= upstream_count
        raise IndexError(index)

    def member(self, index: int, share: int) -> member_record.MemberRecord:
        """Return the record of the agent of an upstream."""
        return member_record.MemberRecord(
            node_id=index * 0x9E3779B97F4A7C15 % 2**64,
            name=f"{self.name}-{index}",
            role=role.Role.AGENT,
            class_name=str(self.class_of(index)),
            zone=str(index % self.zones),
            region="region",
            host="127.0.0.1",
            port=1,
            incarnation=1,
            share=share,
            state=member_state.MemberState.ACTIVE,
            modified=1,
        )


THREE_ZONES = Deployment("10 upstreams, 3 zones", (7, 3), zones=3, slots=4)
FOUR_ZONES = Deployment("11 upstreams, 4 zones", (7, 4), zones=4, slots=2)
