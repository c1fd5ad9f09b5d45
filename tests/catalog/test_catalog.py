"""The catalog must answer operators exactly and apply entries deterministically."""

from __future__ import annotations

import msgspec

from limpetreel.catalog import catalog, member_state, status
from limpetreel.catalog.commands import (
    class_create,
    class_delete,
    class_set,
    command_codec,
    member_changed,
    member_removed,
    zone_in,
)
from tests import fixtures
from tests.catalog import builders

Status = status.Status


def _set(name, command_id, expected, **targets):
    return class_set.ClassSet(
        command_id=command_id, expected=expected, name=name, **targets
    )


def _delete(log, name, command_id):
    expected = log.table.class_by_name(name).modified
    return class_delete.ClassDelete(command_id=command_id, expected=expected, name=name)


def test_racing_commands_first_wins():
    """Guards against a second command that silently overwrites the first."""
    log = builders.new_log()
    seen = log.append(builders.create_class()).revision
    first = log.append(_set("bookings", "x", seen, capacity=200))
    second = log.append(_set("bookings", "y", seen, capacity=300, answer_ms=500))
    assert first.status is Status.APPLIED
    assert (second.status, second.revision) == (Status.CONFLICT, first.revision)
    shown = [(d.field, d.current, d.wanted) for d in second.differences]
    assert shown == [("capacity", "200", "300")]
    assert log.table.class_by_name("bookings").capacity == 200


def test_resent_command_gets_first_answer_after_restore():
    """Guards against a restart that loses the ids of applied commands."""
    log = builders.new_log()
    command = builders.create_class()
    first = log.append(command)
    copy = catalog.Catalog()
    assert copy.restore(log.catalog.snapshot()) is None
    entry = command_codec.encode(command)
    assert copy.apply(99, entry) == first
    assert copy.table.revision == first.revision


def test_used_id_refuses_another_command():
    """Guards against an answer that belongs to a different command."""
    log = builders.new_log()
    log.append(builders.create_class(command_id="x"))
    answer = log.append(builders.create_class(command_id="x", capacity=7))
    assert answer.status is Status.REFUSED
    assert "another command" in answer.detail


def test_zone_out_needs_force_when_a_class_is_left_without_zone():
    """Guards against taking out the last zone by mistake, or not at all."""
    log = builders.new_log()
    log.append(builders.create_class(zones=("a", "b")))
    assert log.append(builders.take_out(log, "a", "1")).status is Status.APPLIED
    refused = log.append(builders.take_out(log, "b", "2"))
    assert refused.status is Status.REFUSED
    assert refused.detail.startswith(
        "class bookings may run in a, b; a is out, taking b out leaves 0 zones"
    )
    assert log.table.is_zone_serving("b")
    forced = log.append(builders.take_out(log, "b", "3", force=True))
    assert forced.status is Status.APPLIED
    assert "leaves 0 zones" in forced.detail
    seen = log.table.class_by_name("bookings").modified
    assert log.append(_set("bookings", "4", seen, capacity=9)).status is Status.APPLIED
    back = zone_in.ZoneIn(command_id="5", expected=forced.revision, name="b")
    assert log.append(back).status is Status.APPLIED


def test_impossible_targets_are_refused_with_the_calculation():
    """Guards against a class that can never serve."""
    log = builders.new_log()
    log.append(builders.take_out(log, "a", "out"))
    cases = {
        "a is out, 1 - 1 leaves 0 zones": {"zones": ("a",)},
        "unknown zones x; known zones: a, b, c": {"zones": ("b", "x")},
        "capacity 0 is outside 1": {"capacity": 0},
        "answer_ms 300000 is outside 1 to 247000": {"answer_ms": 300_000},
    }
    for number, (text, targets) in enumerate(cases.items()):
        answer = log.append(builders.create_class(command_id=str(number), **targets))
        assert answer.status is Status.REFUSED
        assert text in answer.detail, answer.detail
    assert log.table.classes() == []


def test_ports_are_reused_as_late_as_possible():
    """Guards against an entry that receives for a deleted class on its port."""
    log = builders.new_log()
    log.append(*(builders.create_class(n) for n in "pqr"))
    log.append(_delete(log, "q", "d1"), _delete(log, "p", "d2"))
    log.append(*(builders.create_class(n) for n in "stu"))
    ports = {c.name: c.port for c in log.table.classes()}
    assert ports == {"r": 9002, "s": 9003, "t": 9001, "u": 9000}
    assert "all 4 ports" in log.append(builders.create_class("v")).detail
    assert [c.class_id for c in log.table.classes()] == [3, 4, 5, 6]


def test_class_with_agents_is_not_deleted():
    """Guards against a deletion that breaks established flows."""
    log = builders.new_log()
    log.append(builders.create_class(), builders.join("m"))
    answer = log.append(_delete(log, "bookings", "d"))
    assert "has 1 agents" in answer.detail
    log.append(member_removed.MemberRemoved("m", 1))
    assert log.append(_delete(log, "bookings", "e")).status is Status.APPLIED


def test_old_incarnation_changes_nothing():
    """Guards against a delayed entry that changes the restarted member."""
    log = builders.new_log()
    log.append(builders.join("m", incarnation=5))
    before = log.table.revision
    lost = member_state.MemberState.LOST
    for old in (
        builders.join("m", incarnation=4, share=3),
        builders.join("m", incarnation=5, share=3),
        member_changed.MemberChanged("m", 4, lost),
        member_removed.MemberRemoved("m", 4),
    ):
        assert log.append(old).status is Status.REFUSED
    assert log.table.revision == before
    log.append(member_removed.MemberRemoved("m", 5))
    assert log.append(builders.join("m", incarnation=5)).status is Status.REFUSED


def test_requests_with_weights_or_addresses_are_rejected():
    """Guards against operators setting what limpetreel decides itself."""
    command = builders.create_class()
    good = msgspec.json.encode(command)
    assert command_codec.read_request(good) == command
    for field, text in (("weight", "capacity of upstreams"), ("port", "addresses")):
        fields = msgspec.json.decode(good) | {field: 3}
        answer = command_codec.read_request(msgspec.json.encode(fields))
        assert (answer.status, answer.command_id) == (
            Status.REJECTED,
            "create-bookings",
        )
        assert field in answer.detail
        assert text in answer.detail
    for body in (
        b"[]",
        b"{",
        b"{}",
        b'{"type":"bootstrap"}',
        good.replace(b"0", b"-1"),
    ):
        assert command_codec.read_request(body).status is Status.REJECTED


def test_unreadable_entry_and_snapshot_change_nothing():
    """Guards against a crash loop on an entry that every instance applies."""
    log = builders.new_log()
    before = log.table.digest
    assert log.catalog.apply(90, b"\xc1").status is Status.REFUSED
    assert log.catalog.apply(91, b"").status is Status.APPLIED
    assert log.catalog.apply(91, b"").status is Status.REFUSED
    assert not log.catalog.restore(b"\x00")
    assert log.table.digest == before
    assert log.catalog.applied == 91


def test_answers_and_tombstones_are_bounded():
    """Guards against state that grows with every command."""
    log = builders.new_log()
    old = (catalog.MAX_ANSWERS, catalog.MAX_TOMBSTONES)
    catalog.MAX_ANSWERS, catalog.MAX_TOMBSTONES = 5, 3
    try:
        for number in range(6):
            log.append(builders.create_class(f"c{number}"))
            log.append(_delete(log, f"c{number}", f"d{number}"))
    finally:
        catalog.MAX_ANSWERS, catalog.MAX_TOMBSTONES = old
    assert len(log.table.records) == 3 + 3
    assert log.table.floor > 0
    copy = catalog.Catalog()
    copy.restore(log.catalog.snapshot())
    assert copy.table.floor == log.table.floor
    assert copy.snapshot() == log.catalog.snapshot()


def test_commands_do_not_name_weights():
    """Guards against a target that operators may not set."""
    names = set(class_create.ClassCreate.__struct_fields__)
    assert not names & {"share", "weight", "port", "host"}


load_tests = fixtures.load_functions(globals())
