"""Answers reach the caller even if the entry of the request has left."""

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


def _entry(entry_address, zone, state, incarnation):
    host, port = address.to_socket(entry_address)
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


def _target(first_state=ACTIVE, zone_serving=True, has_entries=True, incarnation=3):
    """Return address and incarnation that an answer is sent to.

    The packet being answered came through the first entry.
    """
    node_table = table.Table()
    if has_entries:
        zones = [
            zone_record.ZoneRecord("a", "r", zone_serving, 1),
            zone_record.ZoneRecord("b", "r", True, 1),
        ]
        entries = [
            _entry(FIRST, "a", first_state, incarnation),
            _entry(SECOND, "b", ACTIVE, 8),
        ]
        node_table.apply([*zones, *entries], 1)
    path = return_path.ReturnPath(node_table)
    received = packet.Packet(
        1, FLOW.bucket(), 0, mode.Mode.FIND, 0, 1, 0, CALLER, FIRST, b"request"
    )
    path.record(FLOW, received)
    sent = path.send(path.last_packet(FLOW), b"answer", 0)
    returned = packet.decode(sent.body)
    assert (returned.caller, returned.datagram) == (CALLER, b"answer")
    return sent.destination, sent.target


def test_answer_goes_through_the_entry_of_the_request():
    """Guards against an answer that is sent to an earlier incarnation of the entry."""
    assert _target() == (FIRST, 3)
    assert _target(incarnation=4) == (FIRST, 4)


def test_answer_goes_through_another_entry_if_the_first_has_left():
    """Guards against answers that are lost because an entry or its zone has left."""
    assert _target(first_state=LOST) == (SECOND, 8)
    assert _target(zone_serving=False) == (SECOND, 8)


def test_answer_without_a_table_goes_through_the_entry_of_the_request():
    """Guards against an agent that sends no answer while its table lists no entry."""
    assert _target(has_entries=False) == (FIRST, frame.ANY_INCARNATION)


def test_recorded_packets_are_bounded():
    """Guards against memory that grows with the number of callers."""
    path = return_path.ReturnPath(table.Table())
    received = packet.Packet(1, 0, 0, 0, 0, 1, 0, CALLER, FIRST, b"")
    flows = [
        flow_key.FlowKey(1, address.Address(i, 1))
        for i in range(return_path.MAX_FLOWS + 1)
    ]
    for flow in flows:
        path.record(flow, received)
    assert path.last_packet(flows[0]) is None
    assert path.last_packet(flows[1]) is not None


load_tests = fixtures.load_functions(globals())
