"""Return of the control instances after a loss of power, on a simulated network.

Machines return one after the other, and messages to one that is still without power are
lost. All callers wait for the first leader, so the time to it counts.
"""

from __future__ import annotations

import random

from limpetreel.cluster.events import change_requested
from limpetreel.consensus import role
from tests import fixtures
from tests.cluster import control_group

load_tests = fixtures.load_functions(globals())

RETURN_SPREAD_SECONDS = 0.5
TARGET_SECONDS = 0.25
"""From the return of a majority to the document on all instances that are back."""
SEEDS = 200


def seconds_to_return(seed, lost=0):
    """Return the time from the return of a majority until all hold the document."""
    group = control_group.ControlGroup(seed)
    source = random.Random(seed)
    assert group.change_until_acked(group.replace(7))
    group.run(0.3)
    for instance in group.instances.values():
        instance.crash()
    group.queue.clear()
    returning = list(group.instances.values())
    source.shuffle(returning)
    returning = returning[: len(returning) - lost]
    times = sorted(source.uniform(0.0, RETURN_SPREAD_SECONDS) for _ in returning)
    began_at = group.now
    majority_at = began_at + times[1]
    for seconds, instance in zip(times, returning, strict=True):
        group.run(began_at + seconds - group.now)
        instance.start()
    while not all(i.core is None or i.core.state.version == 7 for i in returning):
        group.run(0.005)
        assert group.now < majority_at + 5.0, seed
    return group.now - max(majority_at, began_at + times[-1])


def test_document_is_back_soon_after_a_majority():
    """Guards against elections that wait for a time limit after a common start."""
    times = [seconds_to_return(seed) for seed in range(SEEDS)]
    assert max(times) <= TARGET_SECONDS, max(times)


def test_document_is_back_soon_with_one_instance_lost():
    """Guards against an election that waits for an instance that never returns."""
    times = [seconds_to_return(seed, lost=1) for seed in range(SEEDS)]
    assert max(times) <= TARGET_SECONDS, max(times)


def test_returning_instance_does_not_depose_the_leader():
    """Guards against an early first election that ends the term of a healthy leader."""
    for seed in range(50):
        group = control_group.ControlGroup(seed)
        assert group.change_until_acked(group.replace(7))
        group.run(0.5)
        leader = group.leader()
        term = leader.core.raft.term
        other = next(i for i in group.instances.values() if i is not leader)
        other.crash()
        group.run(1.0)
        other.start()
        group.run(1.0)
        assert leader.core.raft.role is role.Role.LEADER, seed
        assert leader.core.raft.term == term, seed


def test_followers_apply_a_change_with_its_commit():
    """Guards against nodes that learn of a change one heartbeat after the operator.

    Three one-way messages of at most 4 ms lead from the operator's call to followers.
    """
    group = control_group.ControlGroup(3)
    assert group.change_until_acked(group.replace(7))
    group.run(0.5)
    for version in range(8, 28):
        group.run(0.037)
        change = change_requested.ChangeRequested(1000, group.replace(version))
        group.leader().handle(change)
        group.run(0.015)
        versions = {i.core.state.version for i in group.instances.values()}
        assert versions == {version}, (version, versions)
