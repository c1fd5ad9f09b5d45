"""An entry forwards packets to the agents that expect them."""

from __future__ import annotations

from limpetreel.catalog import (
    class_record,
    member_record,
    member_state,
    node_identity,
    role,
    zone_record,
)
from limpetreel.core import reason
from limpetreel.entry import entry_core, owner_hints
from limpetreel.entry.actions import open_class, send_caller
from limpetreel.entry.events import caller_datagram
from limpetreel.flows import flow_key
from limpetreel.node import frame_arrived, node_link, send_frame, tick
from limpetreel.wire import address, frame, kind, packet
from tests import fixtures

CALLER = address.Address(0x0A000001, 40000)


def _agent(name, zone):
    return member_record.MemberRecord(
        node_id=len(name),
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


def _core(zone_serving=True, agents=1, zone_b=True):
    ident = node_identity.NodeIdentity(
        "e", role.Role.ENTRY, "", "a", "r", "127.0.0.1", 1, 5
    )
    link = node_link.NodeLink(ident, (address.Address(1, 1),), seed=1)
    records = [
        zone_record.ZoneRecord("a", "r", zone_serving, 1),
        zone_record.ZoneRecord("b", "r", zone_b, 1),
        class_record.ClassRecord(1, "c", 10, 1000, (), 20000, 2),
        *(_agent("agent-" + "1" * i, "b") for i in range(1, agents + 1)),
    ]
    link.table.apply(records, 3)
    return entry_core.EntryCore(link, address.Address(2, 2), trace_every=1), link


def _sent(core, now):
    event = caller_datagram.CallerDatagram(1, CALLER, b"datagram")
    actions = core.handle(now, event)
    return [a for a in actions if isinstance(a, send_frame.SendFrame)]


def test_entries_and_agents_compute_the_same_bucket():
    """Guards against entries and agents that hash flows differently.

    Packets would then reach the wrong agent first and need a relay.
    """
    core, link = _core()
    link.right.renew(0.0, 2000)
    forwarded = packet.decode(_sent(core, 1.0)[0].body)
    assert forwarded.bucket == flow_key.FlowKey(1, CALLER).bucket()


def test_entry_without_lease_sends_nothing():
    """Guards against packets to a zone that was taken out.

    An entry without a lease may have missed that change.
    """
    core, link = _core()
    link.right.renew(0.0, 2000)
    assert _sent(core, 1.9)
    assert not _sent(core, 2.1)


def test_entry_of_removed_zone_forwards_packets():
    """Guards against the loss of packets that the fabric sends to a removed zone."""
    core, link = _core(zone_serving=False)
    link.right.renew(0.0, 2000)
    assert _sent(core, 1.0)


def _opened(core, now):
    actions = core.handle(now, tick.Tick())
    return [a.class_id for a in actions if isinstance(a, open_class.OpenClass)]


def test_classes_open_only_with_a_lease():
    """Guards against packets that the fabric sends to an entry that drops them."""
    core, link = _core()
    assert _opened(core, 0.0) == []
    link.right.renew(0.0, 2000)
    assert _opened(core, 0.1) == [1]
    assert _opened(core, 2.5) == []


def _return(core, sender, class_id=1, bucket=None, incarnation=7):
    flow = flow_key.FlowKey(1, CALLER)
    body = packet.encode(
        packet.Packet(
            class_id=class_id,
            bucket=flow.bucket() if bucket is None else bucket,
            hops=0,
            mode=0,
            lease_ms=0,
            revision=3,
            trace_id=0,
            caller=CALLER,
            entry=address.Address(2, 2),
            datagram=b"answer",
        )
    )
    received = frame.Frame(kind.Kind.RETURN, sender, incarnation, 1, body)
    event = frame_arrived.FrameArrived(address.Address(3, 3), received)
    actions = core.handle(1.0, event)
    return [a for a in actions if isinstance(a, send_caller.SendCaller)]


def test_answer_of_an_unknown_class_is_dropped():
    """Guards against an answer that is sent from the address of another class."""
    core, link = _core()
    link.right.renew(0.0, 2000)
    core._apply_table(1.0)
    sent = _return(core, sender=7)
    assert [(s.class_id, s.caller, s.datagram) for s in sent] == [
        (1, CALLER, b"answer")
    ]
    assert not _return(core, sender=7, class_id=2)
    assert not _return(core, sender=7, bucket=1024)
    assert core.dropped == {reason.Reason.WRONG_CLASS: 1, reason.Reason.MALFORMED: 1}


def test_packets_are_sent_to_the_agent_that_answered():
    """Guards against a relay for every packet of a flow.

    That happens if an entry keeps sending to the primary of the bucket although
    another agent owns the flow.
    """
    core, link = _core(agents=3)
    link.right.renew(0.0, 2000)
    core._apply_table(1.0)
    primary = _sent(core, 1.0)[0].destination
    others = {m.node_id: m for m in link.table.members() if m.port != primary.port}
    owner = min(others)
    _return(core, sender=owner)
    assert _sent(core, 1.0)[0].destination.port == others[owner].port
    _return(core, sender=primary.port)
    assert _sent(core, 1.0)[0].destination == primary


def test_hint_to_an_agent_that_left_is_removed():
    """Guards against packets to a lost agent or to a removed zone."""
    for zone_b in (True, False):
        _, link = _core(agents=2, zone_b=zone_b)
        hints = owner_hints.OwnerHints(link.table)
        known = min(m.node_id for m in link.table.members())
        for owner in (known, 999):
            hints.learn((1, CALLER), owner, primary=5)
            agent = hints.find((1, CALLER))
            assert (agent is not None) == (zone_b and owner == known)


def test_traces_of_two_entries_differ():
    """Guards against a trace that mixes the spans of two packets of a flow.

    Packets of a flow may pass through several entries, which all count packets from 1.
    """
    trace_ids = set()
    for node_id in (1, 2):
        core, link = _core()
        link.node_id = node_id << 8
        link.right.renew(0.0, 2000)
        trace_ids |= {
            packet.decode(_sent(core, 1.0)[0].body).trace_id for _ in range(3)
        }
    assert len(trace_ids) == 6


load_tests = fixtures.load_functions(globals())
