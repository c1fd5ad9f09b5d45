"""An explanation must agree with the decisions of an entry."""

from __future__ import annotations

import hypothesis
import msgspec
from hypothesis import strategies as st

from limpetreel.catalog import (
    class_record,
    member_record,
    member_state,
    node_identity,
    role,
    table,
    zone_record,
)
from limpetreel.console import explanation, table_reader
from limpetreel.core import failure
from limpetreel.entry import entry_core
from limpetreel.entry.events import caller_datagram
from limpetreel.node import node_link
from limpetreel.wire import address, packet
from tests import fixtures

ENTRY_ADDRESS = address.Address(0x7F000001, 7000)


def _records():
    zones = [zone_record.ZoneRecord(z, "west", z != "c", 1) for z in ("a", "b", "c")]
    work_class = class_record.ClassRecord(5, "bookings", 10, 100, ("a", "b"), 20000, 2)
    members = [
        member_record.MemberRecord(
            node_id=number + 1,
            name=f"agent-{number}",
            role=role.Role.AGENT,
            class_name="bookings",
            zone="abc"[number % 3],
            region="west",
            host=f"127.0.0.{number + 1}",
            port=7000,
            incarnation=number + 1,
            share=1 + number,
            state=list(member_state.MemberState)[number // 6],
            modified=3 + number,
        )
        for number in range(12)
    ]
    return [*zones, work_class, *members]


def _table():
    records = table.Table()
    records.replace(_records(), 20, 0)
    return records


@hypothesis.seed(1)
@hypothesis.settings(max_examples=60, deadline=None, database=None)
@hypothesis.given(st.integers(0, 2**32 - 1), st.integers(0, 65535))
def test_explanation_agrees_with_the_entry(ip, port):
    """Guards against an explanation that computes another bucket or primary."""
    ident = node_identity.NodeIdentity(
        "e1", role.Role.ENTRY, "", "a", "west", "127.0.0.1", 7000, 1
    )
    link = node_link.NodeLink(ident, (ENTRY_ADDRESS,), seed=1)
    link.table.replace(_records(), 20, 0)
    link.right.renew(0.0, 2000)
    core = entry_core.EntryCore(link, ENTRY_ADDRESS, 0)
    caller = address.Address(ip, port)
    actions = core.handle(1.0, caller_datagram.CallerDatagram(5, caller, b"x"))
    result = explanation.explain(_table(), "bookings", address.to_socket(caller))
    assert result.bucket == packet.decode(actions[0].body).bucket
    primary = link.table.member(result.primary)
    assert actions[0].target == primary.incarnation
    parts = [m.part for m in result.members]
    assert parts.count("primary") == parts.count("deputy") == 1
    first = next(m for m in result.members if not m.part.startswith("excluded"))
    assert first.name == result.primary


def test_unknown_class_is_a_failure():
    result = explanation.explain(_table(), "reports", ("127.0.0.1", 1))
    assert isinstance(result, failure.Failure)


def test_table_is_equal_after_the_operator_answer():
    """Guards against records that change when they are encoded for operators."""
    answer = {
        "revision": 20,
        "records": [
            {"type": r.key.partition("/")[0], **msgspec.structs.asdict(r)}
            for r in _records()
        ],
    }
    answer = msgspec.json.decode(msgspec.json.encode(answer))
    records = table_reader.read(answer)
    assert records.digest == _table().digest and records.revision == 20
    for damaged in ({}, {"revision": 1, "records": [{"type": "x"}]}):
        assert isinstance(table_reader.read(damaged), failure.Failure)


load_tests = fixtures.load_functions(globals())
