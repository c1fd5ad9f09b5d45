"""Answers must reach the caller also after their entry has gone."""

from __future__ import annotations

from limpetreel.agent import return_path
from limpetreel.catalog import member_record, member_state, role, table, zone_record
from limpetreel.flows import flow_key
from limpetreel.wire import address, frame, mode, packet
from tests import fixtures

CALLER = address.Address(0x0A000001, 40000)
FLOW = flow_key.FlowKey(1, CALLER)
FIRST, SECOND = (address.Address(0x7F000001, 7000 + i) for i in range(2))
ACTIVE, LOST = member_state.MemberState.ACTIVE, member_state.MemberState.LOST


def _entry(where, zone, state, incarnation):
    host, port = address.to_socket(where)
    return member_record.MemberRecord(
        node_id=port,
        name=f"entry-{port}",
        role=role.Role.ENTRY,
        class_name="",
        zone=zone,
        region="r",
        host=host,
        port=port,
        incarnation=incarnation,
        share=16,
        state=state,
        modified=1,
    )


def _target(first=ACTIVE, zone_serving=True, known=True, incarnation=3):
    """Return where an answer to a packet through the first entry goes."""
    records = table.Table()
    if known:
        zones = [
            zone_record.ZoneRecord("a", "r", zone_serving, 1),
            zone_record.ZoneRecord("b", "r", True, 1),
        ]
        entries = [
            _entry(FIRST, "a", first, incarnation),
            _entry(SECOND, "b", ACTIVE, 8),
        ]
        records.apply([*zones, *entries], 1)
    back = return_path.ReturnPath(records)
    carrier = packet.Packet(
        1, FLOW.bucket(), 0, mode.Mode.FIND, 0, 1, 0, CALLER, FIRST, b"request"
    )
    back.record(FLOW, carrier)
    sent = back.send(back.last_packet(FLOW), b"answer", 0)
    found = packet.decode(sent.body)
    assert (found.caller, found.datagram) == (CALLER, b"answer")
    return sent.destination, sent.target


def test_answer_goes_through_the_entry_of_the_request():
    """Guards against an answer to an entry's earlier incarnation."""
    assert _target() == (FIRST, 3)
    assert _target(incarnation=4) == (FIRST, 4)


def test_answer_goes_through_another_entry_if_the_first_has_left():
    """Guards against answers that are lost with an entry or its zone."""
    assert _target(first=LOST) == (SECOND, 8)
    assert _target(zone_serving=False) == (SECOND, 8)


def test_answer_goes_back_before_the_table_is_known():
    """Guards against silence of an agent whose table lists no entry yet."""
    assert _target(known=False) == (FIRST, frame.ANY_INCARNATION)


def test_carriers_are_bounded():
    """Guards against memory that grows with the number of callers."""
    back = return_path.ReturnPath(table.Table())
    carrier = packet.Packet(1, 0, 0, 0, 0, 1, 0, CALLER, FIRST, b"")
    flows = [
        flow_key.FlowKey(1, address.Address(i, 1))
        for i in range(return_path.MAX_FLOWS + 1)
    ]
    for flow in flows:
        back.record(flow, carrier)
    assert back.last_packet(flows[0]) is None
    assert back.last_packet(flows[1]) is not None


load_tests = fixtures.load_functions(globals())
