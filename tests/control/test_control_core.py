"""Faults of one control instance at a time, on the fake cluster."""

from __future__ import annotations

from unittest import mock

import msgspec

from limpetreel.control import control_core
from limpetreel.control.events import operator_call
from tests import fixtures
from tests.control import control_cluster


def _start(size=3, nodes=0):
    group = control_cluster.Cluster(size, 7, nodes)
    group.run_until(lambda: group.leader() is not None)
    group.run(0.5)
    return group


def _command(group, kind="zone_create", name="z0"):
    call = group.change(group.leader(), kind, name, **_fields(kind))
    group.run(0.3)
    return group.answers[call]


def _fields(kind):
    return {"region": "r"} if kind == "zone_create" else {}


def _ask(group, instance, body):
    call = group.call(instance, body)
    group.run(0.2)
    return group.answers.get(call)


def test_catalog_is_restored_from_the_recovered_snapshot():
    """Guards against accepted records and first answers lost in a restart."""
    with mock.patch.object(control_core, "SNAPSHOT_ENTRIES", 5):
        group = _start()
        first = _command(group)
        body = next(iter(group.oracle.commands.values()))
        for _ in range(6):
            _command(group, "zone_in")
        assert all(i.core.raft.snapshot.index for i in group.live())
        for instance in group.instances.values():
            instance.crash()
        group.end_faults()
        restored = [i.core.catalog.table.zone("z0") for i in group.live()]
        assert all(restored)
        group.run_until(lambda: group.leader() is not None)
        group.run(0.5)
        assert _ask(group, group.leader(), body) == first
        group.check_all_recover()


def test_lost_identity_does_not_come_back():
    """Guards against a second vote of an instance whose disk was lost."""
    group = _start()
    _command(group)
    lost = next(i for i in group.live() if i is not group.leader())
    identity = lost.core.raft.identity
    # The others must keep its first accepted folder across a restart.
    for instance in group.live():
        instance.crash()
    group.lose_disk(lost.name, is_mistaken=True)
    group.end_faults()
    group.run(1.0)
    assert lost.refusals == 1
    lost.start()
    assert lost.core.raft.identity != identity
    group.check_all_recover()


def test_lost_identity_takes_no_part_while_nobody_refuses_it():
    """Guards against votes of a lost identity before it reaches another instance."""
    group = _start()
    _command(group)
    leader = group.leader()
    others = [i for i in group.live() if i is not leader]
    leader.crash()
    group.partition_off({others[0].name})
    group.lose_disk(others[0].name, is_mistaken=True)
    group.run(5.0)
    assert others[0].core.raft.term == 0
    answer = _ask(group, others[0], {"type": "table"})
    assert answer["status"] == "not leader" and others[1].name in answer["detail"]


def test_new_cluster_starts_although_instances_crash_at_once():
    """Guards against a founding that a restart before its end blocks permanently."""
    group = control_cluster.Cluster(3, 3, 0)
    for _ in range(6):
        group.run(0.04)
        instance = group.rng.choice(list(group.instances.values()))
        instance.crash()
        instance.start()
    group.check_all_recover()


def test_planned_stop_hands_leadership_over_without_losing_a_command():
    """Guards against commands that a planned stop of the leader drops."""
    group = _start()
    old = group.leader()
    call = group.change(old, "zone_create", "z0", region="r")
    group.run(0.04)
    group.stop(old.name)
    begun = group.now
    group.run_until(lambda: old.core.has_left)
    assert group.answers[call]["status"] == "applied"
    assert group.leader() is not old
    # An election by timeout takes 0.3 s or more.
    assert group.now - begun < 0.25
    assert _ask(group, old, {"type": "zone_in"})["detail"] == "the instance is stopping"


def test_requests_are_bounded_in_number_and_size():
    """Guards against unbounded pending requests while there is no quorum."""
    group = _start()
    leader = group.leader()
    for other in group.live():
        if other is not leader:
            other.crash()
    limit = control_core.MAX_CALLS
    calls = [
        group.change(leader, "zone_create", f"z{i}", region="r")
        for i in range(limit + 2)
    ]
    group.run(0.1)
    assert [group.answers[c]["status"] for c in calls if c in group.answers] == [
        "overloaded"
    ] * 2
    large = msgspec.json.encode({"type": "x" * control_core.MAX_REQUEST_BYTES})
    action = leader.core.handle(leader.now(), operator_call.OperatorCall(1, large))[0]
    assert msgspec.json.decode(action.body)["status"] == "malformed"
    group.run(3.0)
    assert {group.answers[c]["status"] for c in calls} == {"overloaded", "unknown"}


def test_frozen_leader_does_not_answer_as_current():
    """Guards against answers of a leader that was replaced while it was frozen."""
    group = _start()
    old = group.leader()
    old.freeze(3.0)
    group.run(2.5)
    _command(group)
    # The request is the first event that the leader takes after the freeze.
    body = msgspec.json.encode({"type": "confirmations"})
    action = old.core.handle(old.now(), operator_call.OperatorCall(1, body))[0]
    assert msgspec.json.decode(action.body)["status"] == "not leader"
    assert not _ask(group, old, {"type": "table"})["current"]


def test_cut_off_leader_grants_no_lease_and_accepts_nothing():
    """Guards against leases and answers without a quorum."""
    group = _start(nodes=2)
    _command(group)
    old = group.leader()
    group.partition_off({old.name})
    unaccepted = group.change(old, "zone_in", "z0")
    group.run(0.5)
    group.run_until(lambda: group.leader() is not old)
    other = group.change(group.leader(), "zone_in", "z0")
    group.run(1.9)
    assert old.core.raft.lease_remaining(old.now()) == 0
    assert group.answers[other]["status"] == "applied"
    assert group.answers.get(unaccepted, {"status": "unknown"})["status"] == "unknown"
    assert not _ask(group, old, {"type": "table"})["current"]
    group.check_all_recover()


def test_slow_sync_does_not_stretch_a_lease():
    """Guards against leases that count from the end of a slow sync."""
    group = _start(nodes=2)
    _command(group)
    for _ in range(4):
        old = group.leader()
        old.sync_delay = 1.2
        group.change(old, "zone_in", "z0")
        group.run(0.7)
        others = [i for i in group.live() if i is not old]
        for other in others:
            group.change(other, "zone_in", "z0")
        group.run(3.0)
    group.check_all_recover()
    assert len(group.oracle.applied) > 4


def test_control_member_is_removed_and_added_by_operators():
    """Guards against membership that cannot be changed from the command line."""
    group = _start()
    removed = next(i for i in group.live() if i is not group.leader())
    identity = {"name": removed.name, "incarnation": 1, "address": removed.name}
    body = {"type": "control_remove", "member": identity}
    assert _ask(group, group.leader(), body)["status"] == "applied"
    assert _ask(group, group.leader(), body)["status"] == "refused"
    removed.crash()
    removed.replace_disk()
    removed.start()
    identity["incarnation"] = (
        removed.core.raft.snapshot.index + removed.store.recover().incarnation
    )
    body = {"type": "control_add", "member": identity}
    assert _ask(group, group.leader(), body)["status"] == "applied"
    group.check_all_recover()


load_tests = fixtures.load_functions(globals())
