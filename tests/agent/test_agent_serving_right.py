"""An agent without a serving right sends nothing and keeps its upstream's state."""

from __future__ import annotations

from limpetreel.agent import agent_core
from limpetreel.agent.actions import send_upstream
from limpetreel.agent.events import upstream_announced, upstream_datagram
from limpetreel.catalog import (
    class_record,
    member_record,
    member_state,
    node_identity,
    role,
    zone_record,
)
from limpetreel.coap import coap_protocol, header
from limpetreel.flows import flow_key
from limpetreel.measure import fake_caller
from limpetreel.node import frame_arrived, node_link, tick
from limpetreel.wire import address, frame, kind, mode, packet
from tests import fixtures

CALLER = address.Address(0x0A000001, 40000)
ENTRY = address.Address(2, 2)


def _core():
    ident = node_identity.NodeIdentity(
        "a", role.Role.AGENT, "c", "z", "r", "127.0.0.1", 1, 5
    )
    link = node_link.NodeLink(ident, (address.Address(1, 1),), seed=1)
    member = member_record.MemberRecord(
        node_id=link.node_id,
        name="a",
        role=role.Role.AGENT,
        class_name="c",
        zone="z",
        region="r",
        host="127.0.0.1",
        port=1,
        incarnation=5,
        share=16,
        state=member_state.MemberState.ACTIVE,
        modified=3,
    )
    records = [
        zone_record.ZoneRecord("z", "r", True, 1),
        class_record.ClassRecord(1, "c", 10, 5000, (), 20000, 2),
        member,
    ]
    link.table.apply(records, 3)
    link.right.renew(0.0, 2000)
    core = agent_core.AgentCore(link, coap_protocol.CoapProtocol(), seed=1)
    core.handle(0.0, upstream_announced.UpstreamAnnounced("c", "run", False))
    core.handle(0.0, tick.Tick())
    return core


def _send_request(core, now, message_id):
    flow = flow_key.FlowKey(1, CALLER)
    body = packet.Packet(
        class_id=1,
        bucket=flow.bucket(),
        hops=0,
        mode=mode.Mode.FIND,
        lease_ms=0,
        revision=3,
        trace_id=0,
        caller=CALLER,
        entry=ENTRY,
        datagram=fake_caller.build_request("k", True, message_id, bytes([message_id])),
    )
    forward = frame.Frame(kind.Kind.FORWARD, 9, 9, 0, packet.encode(body))
    return _sent_upstream(core.handle(now, frame_arrived.FrameArrived(ENTRY, forward)))


def _sent_upstream(actions):
    return [a for a in actions if isinstance(a, send_upstream.SendUpstream)]


def test_answer_after_the_lease_frees_its_slot_and_is_dropped():
    """Guards against slow start after a zone returns, and packets without a lease.

    If the answer were not counted, the upstream would be treated as cold.
    """
    core = _core()
    (sent,) = _send_request(core, 1.0, 1)
    assert not _send_request(core, 1.9, 2), (
        "a new upstream has a concurrency limit of 1"
    )
    head = header.read(sent.datagram)
    answer = fake_caller.build_request("k", True, 1, head.token)
    answer = bytes([answer[0] | 0x20, 0x45]) + answer[2:]
    actions = core.handle(2.5, upstream_datagram.UpstreamDatagram(CALLER, answer))
    assert actions == []
    assert not _sent_upstream(core.handle(2.6, tick.Tick()))
    admission = core._requests.admission
    assert admission.open_count == 1, "the queued request is counted as sent"
    assert admission.queued_count == 0


def test_queued_request_is_not_sent_without_a_lease():
    """Guards against packets to the upstream of a removed zone after the 3 s bound.

    The agent does not learn of the removal, so only its lease stops it.
    """
    core = _core()
    assert _send_request(core, 0.5, 1)
    assert not _send_request(core, 1.9, 2)
    sent = []
    for step in range(21, 80):
        sent += _sent_upstream(core.handle(step / 10, tick.Tick()))
    assert sent == []


load_tests = fixtures.load_functions(globals())
