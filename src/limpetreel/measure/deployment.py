"""The deployments that are measured."""

from __future__ import annotations

import random

import msgspec

from limpetreel.catalog import member_record, member_state, role
from limpetreel.measure import upstream_profile

SPEED_RATIO = 10.0
FASTEST_SECONDS = 0.03
MIN_WARM_SECONDS = 2.0
MAX_WARM_SECONDS = 6.0
INITIAL_SHARE = 8


class Deployment(msgspec.Struct, frozen=True):
    """Size of a deployment.

    Attributes
    ----------
    name : str
        Name for reports.
    class_sizes : tuple of int
        Upstreams of each class.
    zones : int
        Number of zones.
    slots : int
        Slots of each upstream.
    connections_each : int
        Connections for each upstream.
    """

    name: str
    class_sizes: tuple[int, ...]
    zones: int
    slots: int
    connections_each: int = 2000

    def profiles(self, seed: int) -> list[upstream_profile.UpstreamProfile]:
        """Return the upstreams; each class has a fastest and a slowest one."""
        rng = random.Random(seed)
        made = []
        for size in self.class_sizes:
            exponents = [0.0, 1.0] + [rng.random() for _ in range(size - 2)]
            for exponent in exponents:
                seconds = FASTEST_SECONDS * SPEED_RATIO**exponent
                warm = rng.uniform(MIN_WARM_SECONDS, MAX_WARM_SECONDS)
                made.append(upstream_profile.UpstreamProfile(self.slots, seconds, warm))
        return made

    def class_of(self, index: int) -> int:
        """Return the class of an upstream by its index."""
        for class_id, size in enumerate(self.class_sizes):
            if index < size:
                return class_id
            index -= size
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
