"""The assignment must be proportional to shares and move as little as possible."""

from __future__ import annotations

from limpetreel.assignment import class_assignment, rendezvous
from limpetreel.catalog import member_record, member_state, role
from tests import fixtures


def _member(node_id, share=8, zone="a"):
    return member_record.MemberRecord(
        node_id=node_id,
        name=f"m{node_id}",
        role=role.Role.AGENT,
        class_name="c",
        zone=zone,
        region="r",
        host="127.0.0.1",
        port=1,
        incarnation=1,
        share=share,
        state=member_state.MemberState.ACTIVE,
        modified=1,
    )


def _primaries(members):
    assignment = class_assignment.ClassAssignment(1, members)
    buckets = range(class_assignment.BUCKETS_PER_CLASS)
    return [assignment.lookup(b).primary.node_id for b in buckets]


def test_buckets_follow_shares():
    """Guards against a share that does not change the number of buckets."""
    primaries = _primaries([_member(1, 30), _member(2, 10)])
    assert 0.70 < primaries.count(1) / len(primaries) < 0.80


def test_leaving_member_moves_only_its_buckets():
    """Guards against flows that change primary although their member stayed."""
    members = [_member(i) for i in range(1, 8)]
    before = _primaries(members)
    after = _primaries(members[1:])
    moved = [b for b, a in zip(before, after, strict=True) if b != a]
    assert set(moved) == {1}


def test_backup_is_in_another_zone():
    """Guards against the loss of both copies of a bucket with one zone."""
    members = [_member(i, zone="a" if i % 2 else "b") for i in range(1, 5)]
    assignment = class_assignment.ClassAssignment(1, members)
    for bucket in range(0, class_assignment.BUCKETS_PER_CLASS, 16):
        pair = assignment.lookup(bucket)
        assert pair.backup.zone != pair.primary.zone


def test_repeated_lookup_returns_the_same_pair():
    """Guards against a cached pair that belongs to another bucket."""
    members = [_member(i, zone="a" if i % 2 else "b") for i in range(1, 40)]
    assignment = class_assignment.ClassAssignment(1, members)
    buckets = range(class_assignment.BUCKETS_PER_CLASS)
    first = [assignment.lookup(b) for b in buckets]
    for bucket in reversed(buckets):
        fresh = class_assignment.ClassAssignment(1, members).lookup(bucket)
        assert assignment.lookup(bucket) == first[bucket] == fresh


def test_cost_is_an_integer_constant():
    """Guards against instances that compute different assignments."""
    assert rendezvous.cost(1, 2, 3, 4) == 1312604292807


load_tests = fixtures.load_functions(globals())
