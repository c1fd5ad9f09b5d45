"""Courses of events over several cores, each found or feared as a fault."""

from __future__ import annotations

from limpetreel.consensus import member
from limpetreel.consensus.events import change, change_membership
from tests import fixtures
from tests.consensus import cluster


def _led(size=3, seed=1):
    group = cluster.Cluster(size, seed)
    group.run_until(lambda: group.leader() is not None)
    group.run(0.5)
    return group


def _accept(group, count=1):
    data = group.propose(group.leader(), count)
    group.run_until(lambda: data in group.oracle.accepted.values())


def _wait_until_expendable(group, name):
    group.run_until(lambda: group.may_lose(name))


def test_second_loss_right_after_a_repair():
    """Guards against an accepted entry whose last copies are lost in turn."""
    for seed in range(5):
        group = _led(seed=seed)
        _accept(group, 20)
        for name in ("c0", "c1", "c2", "c0"):
            _wait_until_expendable(group, name)
            group.lose_disk(name)
        group.check_all_recover()
        assert len(group.oracle.accepted) == 21


def test_joining_instance_whose_addition_was_replaced_asks_again():
    """Guards against a lost disk that is never repaired (found by fuzzing)."""
    group = cluster.Cluster(3, 9569)
    group.run(1.0)
    group.cut = {group.leader().name}
    group.run(1.0)
    group.instances["c0"].crash()
    group.loss = 0.3
    for instance in group.live():
        group.propose(instance)
    group.run(0.04)
    for instance in group.instances.values():
        if instance.core is None:
            instance.start()
    group.lose_disk("c0")
    group.instances["c0"].crash()
    group.instances["c1"].crash()
    group.check_all_recover()


def test_snapshot_reaches_a_lagging_instance_in_chunks():
    """Guards against a peer that can never catch up once the log is cut."""
    group = _led()
    leader = group.leader()
    lagging = next(i for i in group.live() if i is not leader)
    group.cut = {lagging.name}
    for _ in range(20):
        _accept(group, 600)
    group.take_snapshot(leader)
    group.loss = 0.2
    group.cut = set()
    group.run_until(lambda: lagging.state == leader.state)
    assert lagging.store.recover().snapshot.index > 0
    group.check_all_recover()


def test_returning_instance_does_not_depose_the_leader():
    """Guards against elections forced by an instance behind a partition."""
    group = _led()
    leader = group.leader()
    other = next(i for i in group.live() if i is not leader)
    group.cut = {other.name}
    group.run(60.0)
    group.cut = set()
    group.run(2.0)
    assert group.leader() is leader
    assert len(group.oracle.leaders) == 1


def test_leader_that_removes_itself_hands_over():
    """Guards against a removed leader that stays, or counts itself."""
    group = _led()
    leader = group.leader()
    own = member.Member(leader.name, 1, leader.name)
    leader.handle(change_membership.ChangeMembership(0, change.Change.REMOVE, own))
    group.run(2.0)
    assert group.leader() is not leader
    assert own not in group.leader().core.members


load_tests = fixtures.load_functions(globals())
