"""Tests of founding, failure and replacement in a group of control instances."""

from __future__ import annotations

import random

from limpetreel.cluster import call_status, cluster_state
from limpetreel.cluster.commands import set_configuration, set_zone
from limpetreel.cluster.events import change_requested
from tests import fixtures
from tests.cluster import control_group

load_tests = fixtures.load_functions(globals())

FAULTS = ("wipe", "crash", "full", "all", "cut", "new", "order", "zone")
A, B, C, D, E = (f"10.0.0.{i}:7000" for i in range(1, 6))


def voters(group):
    """Return the addresses of the voters in the leader's membership."""
    members = group.leader().core.raft.members
    return sorted(m.address for m in members if m.voting)


def test_group_founds_itself_and_acknowledges():
    """Guards against a first start that waits for an operator."""
    group = control_group.ControlGroup(1)
    assert group.change_until_acked(group.replace(4))
    group.check_final_state()


def test_lower_version_is_acknowledged_and_changes_nothing():
    """Guards against a delayed change that reverts a newer configuration."""
    group = control_group.ControlGroup(2)
    assert group.change_until_acked(group.replace(7))
    assert group.change_until_acked(group.replace(5, port=9000))
    assert group.change_until_acked(group.replace(7, port=9000))
    assert group.leader().core.state.configuration.routes[0].port == 8080
    group.check_final_state()


def test_unknown_kinds_are_logged_once_per_version():
    """Guards against a route with the careful meaning that no operator notices."""
    group = control_group.ControlGroup(21)
    for version, kind in ((4, "lookup_2"), (5, "idempotent"), (6, "lookup_3")):
        assert group.change_until_acked(group.replace(version, kind=kind))
        group.run(1)
    for instance in group.instances.values():
        lines = [ln for ln in instance.lines if ln.step == "configuration.unknown_kind"]
        assert [ln.fields["kind"] for ln in lines] == ["lookup_2", "lookup_3"]
        assert lines[0].fields["route"] == "r-1"


def test_document_that_another_release_accepted_ends_no_instance():
    """Guards against instances that end, again and again, at one committed entry."""
    group = control_group.ControlGroup(22)
    assert group.change_until_acked(group.replace(4))
    unreadable = cluster_state.compress(b"{}")
    command = set_configuration.SetConfiguration(5, unreadable)
    assert group.change_until_acked(command)
    group.run(1)
    for instance in group.instances.values():
        assert instance.core.state.configuration is None
        assert instance.lines[-1].step == "configuration.unreadable"
    assert group.change_until_acked(group.replace(6))
    group.check_final_state()


def test_instance_that_is_no_seed_joins_without_a_vote():
    """Guards against an even number of voters, which tolerates no more failures."""
    group = control_group.ControlGroup(3, size=4)
    group.run(3)
    assert voters(group) == [A, B, C]
    assert len(group.leader().core.raft.members) == 4


def test_wiped_leader_does_not_lose_what_it_acknowledged():
    """Guards against an instance with an empty disk that votes for an older log."""
    group = control_group.ControlGroup(4)
    assert group.change_until_acked(group.replace(4))
    lost = group.leader()
    lost.lose_disk()
    group.run(0.5)
    lost.start()
    group.run(5)
    assert voters(group) == [A, B, C]
    group.check_final_state()


def test_lost_voter_is_replaced_at_another_address():
    """Guards against a group that keeps a permanently lost machine as a voter."""
    group = control_group.ControlGroup(5)
    assert group.change_until_acked(group.replace(4))
    del group.instances[A]
    group.instances[D] = control_group.Instance(group, D)
    group.instances[D].start()
    group.run(6)
    assert voters(group) == [B, C, D]
    del group.instances[B]
    group.instances[E] = control_group.Instance(group, E)
    group.instances[E].start()
    group.run(6)
    assert voters(group) == [C, D, E]
    assert group.change_until_acked(group.replace(9))
    group.check_final_state()


def test_voter_that_was_replaced_while_cut_off_joins_again():
    """Guards against a removed voter that is never informed of its removal."""
    group = control_group.ControlGroup(6, size=4)
    group.run(2)
    others = [n for n in group.instances if n != A]
    group.blocked_links = {frozenset((A, n)) for n in others}
    group.run(6)
    assert voters(group) == [B, C, D]
    group.blocked_links = set()
    group.run(6)
    assert A in {m.address for m in group.leader().core.raft.members}
    group.check_final_state()


def test_minority_does_not_read_or_acknowledge():
    """Guards against stale reads from a partitioned leader."""
    group = control_group.ControlGroup(7)
    assert group.change_until_acked(group.replace(4))
    old_leader = group.leader().address
    others = [n for n in group.instances if n != old_leader]
    group.blocked_links = {frozenset((old_leader, n)) for n in others}
    assert group.read(old_leader) is None
    assert group.change_until_acked(group.replace(6))
    group.check_reads()
    group.blocked_links = set()
    group.run(2)
    group.check_final_state()


def test_order_to_a_leader_that_was_replaced_takes_no_effect_later():
    """Guards against an order that two leaders carry out, one of them late."""
    for seed in range(20):
        group = control_group.ControlGroup(seed)
        assert group.change_until_acked(group.replace(4))
        old = group.leader().address
        others = [n for n in group.instances if n != old]
        group.blocked_links = {frozenset((old, n)) for n in others}
        out = set_zone.SetZone("zone-a", True)
        answer = group.call(old, change_requested.ChangeRequested, out)
        assert answer.status is call_status.CallStatus.UNAVAILABLE
        assert group.change_until_acked(set_zone.SetZone("zone-a", False))
        group.blocked_links = set()
        group.run(3)
        group.check_final_state()
        for instance in group.instances.values():
            applied = [ln for ln in instance.lines if ln.step == "state.applied"]
            assert "zone-a" not in {ln.fields["zones_out"] for ln in applied}, seed


def test_all_instances_killed_at_once_keep_everything():
    """Guards against an acknowledgement before a majority has synced."""
    for seed in range(10):
        group = control_group.ControlGroup(100 + seed)
        assert group.change_until_acked(group.replace(4))
        assert group.change_until_acked(set_zone.SetZone("zone-a", True))
        for instance in group.instances.values():
            instance.crash()
        for instance in group.instances.values():
            instance.start()
        group.run(2)
        group.check_final_state()


def test_random_faults_lose_and_revert_nothing():
    """Guards against sequences of faults that no other test covers."""
    for seed in range(12):
        inject_faults(seed)


def inject_faults(seed, steps=14):
    """Inject random faults that the group must tolerate, and check the invariants."""
    rng = random.Random(seed)
    group = control_group.ControlGroup(seed, size=rng.choice((3, 4)))
    version = 1
    assert group.change_until_acked(group.replace(version))
    for _ in range(steps):
        version += rng.randrange(1, 4)
        name = rng.choice(sorted(group.instances))
        instance = group.instances[name]
        match rng.choice(FAULTS):
            case "wipe":
                instance.lose_disk()
                group.run(rng.uniform(0.1, 3.5))
                instance.start()
                group.run(5)
            case "crash":
                instance.crash()
                group.change_until_acked(group.replace(version))
                instance.start()
                group.run(rng.uniform(0.1, 2))
            case "full":
                instance.disk.is_full = True
                group.change_until_acked(group.replace(version))
                group.run(rng.uniform(0.1, 2))
                instance.disk.is_full = False
                if instance.core is None:
                    instance.start()
            case "all":
                for other in group.instances.values():
                    other.crash()
                for other in group.instances.values():
                    other.start()
            case "cut":
                others = [n for n in group.instances if n != name]
                group.blocked_links = {frozenset((name, n)) for n in others}
                group.change_until_acked(group.replace(version))
                group.check_reads()
                group.run(rng.uniform(0.1, 5))
                group.blocked_links = set()
                group.run(3)
            case "new":
                del group.instances[name]
                new_address = f"10.0.1.{len(group.instances)}{version}:7000"
                group.instances[new_address] = control_group.Instance(
                    group, new_address
                )
                group.seeds = sorted(group.instances)[:3]
                group.instances[new_address].start()
                group.run(6)
            case "order":
                assert group.change_until_acked(group.replace(version))
            case "zone":
                command = set_zone.SetZone("zone-a", rng.random() < 0.5)
                assert group.change_until_acked(command)
        group.check_reads()
    group.run(5)
    group.check_final_state()


def test_loss_of_power_erases_nothing_where_some_machines_have_no_disk():
    """Guards against a majority of voters in memory.

    Machines without a disk join first, as on a large site, where five of fifteen have
    one; then all machines lose power.
    """
    for seed in range(6):
        group = control_group.ControlGroup(seed, 10, 5, without_disk=(0, 3, 4, 5, 6))
        group.run(8.0)
        assert len(voters(group)) == 5
        assert group.change_until_acked(group.replace(3))
        group.run(1.0)
        for instance in group.instances.values():
            instance.crash()
        group.queue.clear()
        for instance in group.instances.values():
            instance.start()
        group.run(5.0)
        group.check_final_state()
