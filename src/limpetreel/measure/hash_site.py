"""Baseline site: consistent hashing at the entries and nothing else."""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING

from limpetreel.assignment import class_assignment
from limpetreel.catalog import member_record, member_state, role
from limpetreel.flows import flow_key
from limpetreel.measure import (
    coap_upstream,
    event_queue,
    fake_caller,
    fake_network,
    measured_site,
)
from limpetreel.wire import address

if TYPE_CHECKING:
    from limpetreel.measure import upstream_profile

CALLER_LATENCY_SECONDS = 0.003
UPDATE_SECONDS = 1.0
"""Delay until all entries use a change of the members."""

SHARE = 8


class HashSite(measured_site.MeasuredSite):
    """Entries that hash each flow over the members, with equal shares.

    There is no admission, no flow directory and no duplicate detection; answers go
    directly to the caller. Entries have a fixed list of members, so that a restart
    of an entry has no effect.

    Parameters
    ----------
    one_way_s : float
        One-way latency between zones in seconds.
    seed : int
        Seed of all random choices.
    loss : float
        Probability that a packet is lost on its way to an upstream.
    """

    def __init__(self, one_way_s: float, seed: int, loss: float) -> None:
        self.queue = event_queue.EventQueue()
        self.rng = random.Random(seed)
        self.network = fake_network.FakeNetwork(
            self.queue, random.Random(seed + 1), one_way_s, loss
        )
        self.upstreams: dict[str, coap_upstream.CoapUpstream] = {}
        self.callers: dict[address.Address, fake_caller.FakeCaller] = {}
        self.packet_count = 0
        self._members: dict[int, list[member_record.MemberRecord]] = {}
        self._name_by_node_id: dict[int, str] = {}
        self._excluded: set[str] = set()
        self._assignments: dict[int, class_assignment.ClassAssignment] = {}

    def start_upstream(
        self,
        name: str,
        profile: upstream_profile.UpstreamProfile,
        class_id: int,
        zone: str,
    ) -> None:
        """Start an upstream and make it a member of its class."""
        sender = functools.partial(self._from_upstream, zone)
        rng = random.Random(self.rng.random())
        self.upstreams[name] = coap_upstream.CoapUpstream(
            name, self.queue, profile, rng, sender
        )
        number = len(self.upstreams)
        node_id = number * 0x9E3779B97F4A7C15 % 2**64
        self._name_by_node_id[node_id] = name
        record = member_record.MemberRecord(
            node_id=node_id,
            name=name,
            role=role.Role.AGENT,
            class_name=str(class_id),
            zone=zone,
            region="local",
            host="127.0.0.1",
            port=number,
            incarnation=1,
            share=SHARE,
            state=member_state.MemberState.ACTIVE,
            modified=1,
        )
        self._members.setdefault(class_id, []).append(record)

    def exclude_upstreams(self, names: set[str]) -> None:
        """Exclude upstreams from new assignments after the update delay."""
        self._excluded = names
        self.queue.after(UPDATE_SECONDS, self.publish)

    def publish(self) -> None:
        """Assign the buckets to the current members."""
        for class_id, members in self._members.items():
            present = [m for m in members if m.name not in self._excluded]
            self._assignments[class_id] = class_assignment.ClassAssignment(
                class_id, present
            )

    def add_caller(self, class_id: int) -> fake_caller.FakeCaller:
        """Add a caller of a class."""
        number = len(self.callers)
        caller_address = address.Address(0x0A000000 + number // 4, 40000 + number % 4)
        caller = fake_caller.FakeCaller(
            self.queue, caller_address, class_id, self._to_entry, self.rng
        )
        self.callers[caller_address] = caller
        return caller

    def relay_count(self) -> int:
        """Return how many packets were relayed."""
        return 0

    def _to_entry(self, caller: fake_caller.FakeCaller, datagram: bytes) -> None:
        self.packet_count += 1
        bucket = flow_key.FlowKey(caller.class_id, caller.address).bucket()
        assignment = self._assignments[caller.class_id].lookup(bucket)
        if assignment is None or self.rng.random() < self.network.loss:
            return
        upstream = self.upstreams[self._name_by_node_id[assignment.primary.node_id]]
        delay = CALLER_LATENCY_SECONDS * self.rng.uniform(0.8, 1.4)
        delay += self.network.delay("", assignment.primary.zone)
        receive = functools.partial(upstream.receive, caller.address, datagram)
        self.queue.after(delay, receive)

    def _from_upstream(
        self, zone: str, caller: address.Address, datagram: bytes
    ) -> None:
        delay = self.network.delay(zone, "")
        delay += CALLER_LATENCY_SECONDS * self.rng.uniform(0.8, 1.4)
        receive = functools.partial(self.callers[caller].receive, datagram)
        self.queue.after(delay, receive)
