"""Agent core with a table, and readers of its actions."""

from __future__ import annotations

import aiocoap
import msgspec

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
from limpetreel.node import frame_arrived, node_link, send_frame, tick
from limpetreel.wire import address, frame, kind, mode, packet

CALLER = address.Address(0x0A000001, 40000)
FLOW = flow_key.FlowKey(1, CALLER)
ENTRY = address.Address(0x7F000009, 7000)
OWN_ID = 1
NOW = 1000.0


class Agent:
    """Agent ``a`` of class 1 in zone ``z``.

    Parameters
    ----------
    first_incarnation : int
        Incarnation with which the agent first joined; `incarnation` by default.
    incarnation : int
        Incarnation of the agent.
    """

    def __init__(self, first_incarnation=0, incarnation=10):
        ident = node_identity.NodeIdentity(
            "a", role.Role.AGENT, "c", "z", "r", "127.0.0.1", 7001, incarnation
        )
        self.link = node_link.NodeLink(ident, (address.Address(1, 1),), seed=1)
        self.link.node_id = OWN_ID
        self.core = agent_core.AgentCore(self.link, coap_protocol.CoapProtocol(), 1)
        self.now = NOW
        self.revision = 0
        self._member = _member(incarnation, first_incarnation or incarnation)
        self.grant_lease()
        self.update_table()
        self.announce("run-1")
        self.tick()

    def update_table(self, serving=True):
        """Give the agent a table with a newer revision."""
        self.revision += 5
        records = [
            zone_record.ZoneRecord("z", "r", serving, self.revision),
            class_record.ClassRecord(1, "c", 10, 2000, (), 20000, self.revision),
            msgspec.structs.replace(self._member, modified=self.revision),
        ]
        self.link.table.apply(records, self.revision)

    def grant_lease(self, lease_ms=2000):
        """Grant the agent a lease from the control instances."""
        self.link.right.renew(self.now, lease_ms)

    def tick(self, seconds=0.0):
        """Advance the clock without renewing the lease, and run a tick."""
        self.now += seconds
        return self.core.handle(self.now, tick.Tick())

    def announce(self, run_id, draining=False):
        """Deliver an announcement of the upstream."""
        event = upstream_announced.UpstreamAnnounced("c", run_id, draining)
        return self.core.handle(self.now, event)

    def send_request(
        self, message_id=1, post=False, class_id=1, caller=CALLER, lease_ms=0
    ):
        """Deliver a caller's request, forwarded by the entry."""
        code = aiocoap.POST if post else aiocoap.GET
        message = aiocoap.Message(code=code, payload=b"p", mtype=aiocoap.CON)
        message.mid, message.token = message_id, b"t"
        flow = flow_key.FlowKey(class_id, caller)
        body = packet.encode(
            packet.Packet(
                class_id=class_id,
                bucket=flow.bucket(),
                hops=0,
                mode=mode.Mode.FIND,
                lease_ms=lease_ms,
                revision=self.revision,
                trace_id=0,
                caller=caller,
                entry=ENTRY,
                datagram=message.encode(),
            )
        )
        received = frame.Frame(kind.Kind.FORWARD, 9, 9, 1, body)
        return self.core.handle(self.now, frame_arrived.FrameArrived(ENTRY, received))

    def answer(self, token, payload=b"done", code=aiocoap.CONTENT, caller=CALLER):
        """Deliver an answer of the upstream on the socket of a caller's flow."""
        message = aiocoap.Message(code=code, payload=payload, mtype=aiocoap.ACK)
        message.mid, message.token = 1, token
        event = upstream_datagram.UpstreamDatagram(caller, message.encode())
        return self.core.handle(self.now, event)


def _member(incarnation, first_incarnation):
    return member_record.MemberRecord(
        node_id=OWN_ID,
        name="a",
        role=role.Role.AGENT,
        class_name="c",
        zone="z",
        region="r",
        host="127.0.0.1",
        port=7001,
        incarnation=incarnation,
        share=16,
        state=member_state.MemberState.ACTIVE,
        modified=1,
        first_incarnation=first_incarnation,
    )


def sent_upstream(actions):
    """Return the headers of the datagrams for the upstream."""
    sends = [a for a in actions if isinstance(a, send_upstream.SendUpstream)]
    return [header.read(a.datagram) for a in sends]


def responses(actions):
    """Return (token, payload) of each response to a caller."""
    packets = [
        packet.decode(a.body)
        for a in actions
        if isinstance(a, send_frame.SendFrame) and a.kind == kind.Kind.RETURN
    ]
    messages = [aiocoap.Message.decode(p.datagram) for p in packets]
    return [(m.token, m.payload) for m in messages]
