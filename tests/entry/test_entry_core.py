"""The entry must send packets where the agents expect them."""

from __future__ import annotations

from limpetreel.catalog import (
    class_record,
    member_record,
    member_state,
    node_identity,
    role,
    zone_record,
)
from limpetreel.entry import entry_core
from limpetreel.entry.actions import open_class
from limpetreel.entry.events import caller_datagram
from limpetreel.flows import flow_key
from limpetreel.node import node_link, send_frame, tick
from limpetreel.wire import address, packet
from tests import fixtures

CALLER = address.Address(0x0A000001, 40000)


def _agent(name, zone):
    return member_record.MemberRecord(
        node_id=hash(name) % 1000,
        name=name,
        role=role.Role.AGENT,
        class_name="c",
        zone=zone,
        region="r",
        host="127.0.0.2",
        port=len(name),
        incarnation=7,
        share=16,
        state=member_state.MemberState.ACTIVE,
        modified=3,
    )


def _core(zone_serving=True):
    ident = node_identity.NodeIdentity(
        "e", role.Role.ENTRY, "", "a", "r", "127.0.0.1", 1, 5
    )
    link = node_link.NodeLink(ident, (address.Address(1, 1),), seed=1)
    records = [
        zone_record.ZoneRecord("a", "r", zone_serving, 1),
        zone_record.ZoneRecord("b", "r", True, 1),
        class_record.ClassRecord(1, "c", 10, 1000, (), 20000, 2),
        _agent("agent-1", "b"),
    ]
    link.table.apply(records, 3)
    return entry_core.EntryCore(link, address.Address(2, 2), trace_every=1), link


def _sent(core, now):
    event = caller_datagram.CallerDatagram(1, CALLER, b"datagram")
    actions = core.handle(now, event)
    return [a for a in actions if isinstance(a, send_frame.SendFrame)]


def test_bucket_is_the_one_that_agents_compute():
    """Guards against entries and agents that hash flows differently.

    Every packet then reaches the wrong agent first and costs a relay.
    """
    core, link = _core()
    link.right.renew(0.0, 2000)
    found = packet.decode(_sent(core, 1.0)[0].body)
    assert found.bucket == flow_key.FlowKey(1, CALLER).bucket()


def test_entry_without_lease_sends_nothing():
    """Guards against packets for a zone that was taken out unnoticed."""
    core, link = _core()
    link.right.renew(0.0, 2000)
    assert _sent(core, 1.9)
    assert not _sent(core, 2.1)


def test_entry_of_removed_zone_hands_packets_on():
    """Guards against the loss of what the fabric hands to a removed zone."""
    core, link = _core(zone_serving=False)
    link.right.renew(0.0, 2000)
    assert _sent(core, 1.0)


def _opened(core, now):
    actions = core.handle(now, tick.Tick())
    return [a.class_id for a in actions if isinstance(a, open_class.OpenClass)]


def test_classes_open_only_with_a_lease():
    """Guards against packets that the fabric hands to an entry that drops them."""
    core, link = _core()
    assert _opened(core, 0.0) == []
    link.right.renew(0.0, 2000)
    assert _opened(core, 0.1) == [1]
    assert _opened(core, 2.5) == []


load_tests = fixtures.load_functions(globals())
