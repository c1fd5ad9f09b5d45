"""Failure scenarios with several cores."""

from __future__ import annotations

from limpetreel.consensus import member
from limpetreel.consensus.events import change, change_membership
from tests import fixtures
from tests.consensus import cluster


def _start_cluster(size=3, seed=1):
    group = cluster.Cluster(size, seed)
    group.run_until(lambda: group.leader() is not None)
    group.run(0.5)
    return group


def _commit(group, count=1):
    data = group.propose(group.leader(), count)
    group.run_until(lambda: data in group.oracle.committed.values())


def _wait_until_disk_loss_is_safe(group, name):
    group.run_until(lambda: group.can_lose_disk(name))


def test_disk_loss_right_after_a_replacement():
    """Guards against a committed entry whose copies are lost one disk after another."""
    for seed in range(5):
        group = _start_cluster(seed=seed)
        _commit(group, 20)
        for name in ("c0", "c1", "c2", "c0"):
            _wait_until_disk_loss_is_safe(group, name)
            group.lose_disk(name)
        group.check_all_recover()
        assert len(group.oracle.committed) == 21


def test_instance_whose_addition_was_overwritten_asks_again():
    """Guards against a lost disk that is never replaced in the membership.

    A new leader that lacks the entry that added the instance overwrites it, so the
    instance has to ask again. Found by fuzzing with this seed.
    """
    group = cluster.Cluster(3, 9569)
    group.run(1.0)
    group.partitioned = {group.leader().name}
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
    """Guards against a peer that cannot catch up after a compaction of the log."""
    group = _start_cluster()
    leader = group.leader()
    lagging = next(i for i in group.live() if i is not leader)
    group.partitioned = {lagging.name}
    for _ in range(20):
        _commit(group, 600)
    group.take_snapshot(leader)
    group.loss = 0.2
    group.partitioned = set()
    group.run_until(lambda: lagging.state == leader.state)
    assert lagging.store.recover().snapshot.index > 0
    group.check_all_recover()


def test_returning_instance_does_not_depose_the_leader():
    """Guards against an election forced by an instance after its partition."""
    group = _start_cluster()
    leader = group.leader()
    isolated = next(i for i in group.live() if i is not leader)
    group.partitioned = {isolated.name}
    group.run(60.0)
    group.partitioned = set()
    group.run(2.0)
    assert group.leader() is leader
    assert len(group.oracle.leaders) == 1


def test_leader_that_removes_itself_is_replaced():
    """Guards against a removed leader that keeps leading or counts its own log."""
    group = _start_cluster()
    leader = group.leader()
    removed = member.Member(leader.name, 1, leader.name)
    leader.handle(change_membership.ChangeMembership(0, change.Change.REMOVE, removed))
    group.run(2.0)
    assert group.leader() is not leader
    assert removed not in group.leader().core.members


load_tests = fixtures.load_functions(globals())
