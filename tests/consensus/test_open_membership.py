"""Tests of the choice of voters in a group that needs no operator."""

from __future__ import annotations

from limpetreel.consensus import member, open_membership
from tests import fixtures

load_tests = fixtures.load_functions(globals())

POLICY = open_membership.OpenMembership(3)


def make(name, voting=True, is_durable=True):
    """Return a member."""
    return member.Member(name, 1, f"{name}:1", voting, is_durable)


def next_change(members, silent=()):
    """Return the next change; all others have caught up and reply."""
    caught_up = {m.identity for m in members if m.name not in silent}
    seconds = {m.identity: 10.0 if m.name in silent else 0.0 for m in members}
    return POLICY.next_change(tuple(members), caught_up, seconds)


def test_instance_without_a_disk_does_not_replace_a_lost_voter():
    """Guards against a majority that a loss of power erases."""
    members = [make("a"), make("b"), make("c"), make("d", False, False)]
    assert next_change(members, silent=("c",)) is None


def test_instance_with_a_disk_goes_before_one_without():
    """Guards against voters in the order in which instances joined."""
    members = [
        make("a"),
        make("b"),
        make("d", voting=False, is_durable=False),
        make("e", voting=False),
    ]
    changed = next_change(members)
    assert [m.name for m in changed if m.voting] == ["a", "b", "e"]


def test_voter_without_a_disk_gives_way_to_one_with():
    """Guards against a founder without a disk that votes for ever."""
    members = [make("a"), make("b"), make("c", is_durable=False), make("e", False)]
    changed = next_change(members)
    assert [m.name for m in changed] == ["a", "b", "e"]


def test_voter_without_a_disk_stays_while_the_others_are_unreachable():
    """Guards against a change that leaves a majority which does not answer."""
    members = [make("a"), make("b"), make("c", is_durable=False), make("e", False)]
    assert next_change(members, silent=("a", "b")) is None


def test_group_without_any_disk_still_replaces_voters():
    """Guards against sites without disks that lose their quorum one by one."""
    members = [make(n, is_durable=False) for n in "abc"]
    members.append(make("d", voting=False, is_durable=False))
    changed = next_change(members, silent=("c",))
    assert [m.name for m in changed] == ["a", "b", "d"]
