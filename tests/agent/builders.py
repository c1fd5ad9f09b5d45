"""Agent core with a table, and what it says."""

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
from limpetreel.messages import claim_ack, claim_request
from limpetreel.node import frame_arrived, node_link, send_frame, tick
from limpetreel.wire import address, frame, kind, message_codec, mode, packet

CALLER = address.Address(0x0A000001, 40000)
FLOW = flow_key.FlowKey(1, CALLER)
ENTRY = address.Address(0x7F000009, 7000)
PEER = (2, 20)
OWN_ID = 1
NOW = 1000.0


class Agent:
    """Agent ``a`` of class 1 in zone ``z``, and optionally a peer.

    Parameters
    ----------
    with_peer : bool
        Whether the class has a second agent, which never answers by itself.
    first_incarnation : int
        Incarnation with which the agent first joined; its own by default.
    incarnation : int
        Incarnation of the agent.
    """

    def __init__(self, with_peer=False, first_incarnation=0, incarnation=10):
        ident = node_identity.NodeIdentity(
            "a", role.Role.AGENT, "c", "z", "r", "127.0.0.1", 7001, incarnation
        )
        self.link = node_link.NodeLink(ident, (address.Address(1, 1),), seed=1)
        own = (OWN_ID, incarnation)
        self.link.node_id = OWN_ID
        self.core = agent_core.AgentCore(self.link, coap_protocol.CoapProtocol(), 1)
        self.now = NOW
        self.revision = 0
        self._members = [self._member("a", own, first_incarnation or incarnation)]
        if with_peer:
            self._members.append(self._member("b", PEER, PEER[1]))
        self.lease()
        self.table()
        self.announce("run-1")
        self.tick()

    def _member(self, name, peer, first):
        return member_record.MemberRecord(
            node_id=peer[0],
            name=name,
            role=role.Role.AGENT,
            class_name="c",
            zone="z",
            region="r",
            host="127.0.0.1",
            port=7000 + peer[0],
            incarnation=peer[1],
            share=16,
            state=member_state.MemberState.ACTIVE,
            modified=1,
            first_incarnation=first,
        )

    def table(self, serving=True, peer_state=member_state.MemberState.ACTIVE):
        """Give the agent a newer table."""
        self.revision += 5
        members = [
            msgspec.structs.replace(
                m,
                modified=self.revision,
                state=peer_state if m.name == "b" else m.state,
            )
            for m in self._members
        ]
        records = [
            zone_record.ZoneRecord("z", "r", serving, self.revision),
            class_record.ClassRecord(1, "c", 10, 2000, (), 20000, self.revision),
            *members,
        ]
        self.link.table.apply(records, self.revision)

    def lease(self, lease_ms=2000):
        """Let control grant a lease."""
        self.link.right.renew(self.now, lease_ms)

    def tick(self, seconds=0.0):
        """Advance the clock; the agent keeps its lease only if asked to."""
        self.now += seconds
        return self.core.handle(self.now, tick.Tick())

    def announce(self, run_id):
        """Announce the upstream."""
        event = upstream_announced.UpstreamAnnounced("c", run_id, False)
        return self.core.handle(self.now, event)

    def ask(self, message_id=1, post=False, class_id=1, token=b"t", caller=CALLER):
        """Deliver a request through the entry."""
        code = aiocoap.POST if post else aiocoap.GET
        made = aiocoap.Message(code=code, payload=b"p", mtype=aiocoap.CON)
        made.mid, made.token = message_id, token
        flow = flow_key.FlowKey(class_id, caller)
        body = packet.encode(
            packet.Packet(
                class_id=class_id,
                bucket=flow.bucket(),
                hops=0,
                mode=mode.Mode.FIND,
                lease_ms=0,
                revision=0,
                trace_id=0,
                caller=caller,
                entry=ENTRY,
                datagram=made.encode(),
            )
        )
        received = frame.Frame(kind.Kind.FORWARD, 9, 9, 1, body)
        return self.core.handle(self.now, frame_arrived.FrameArrived(ENTRY, received))

    def message(self, message):
        """Deliver a message of the peer."""
        body = message_codec.encode(message)
        received = frame.Frame(kind.Kind.MESSAGE, *PEER, 1, body)
        source = address.Address(0x7F000001, 7002)
        return self.core.handle(self.now, frame_arrived.FrameArrived(source, received))

    def answer(self, token, text=b"done", code=aiocoap.CONTENT, caller=CALLER):
        """Let the upstream answer on the socket of a caller's flow."""
        made = aiocoap.Message(code=code, payload=text, mtype=aiocoap.ACK)
        made.mid, made.token = 1, token
        event = upstream_datagram.UpstreamDatagram(caller, made.encode())
        return self.core.handle(self.now, event)

    def acknowledge(self, actions, is_holder, deputy=(0, 0)):
        """Grant the claim that was asked for, as the peer."""
        asked = claims(actions)[0]
        ack = claim_ack.ClaimAck(
            1, asked.bucket, asked.claim_id, self.revision, is_holder, True, *deputy
        )
        return self.message(ack)


def claims(actions):
    """Return the claim requests to the peer."""
    found = [
        message_codec.decode(a.body)
        for a in actions
        if isinstance(a, send_frame.SendFrame) and a.kind == kind.Kind.MESSAGE
    ]
    return [m for m in found if isinstance(m, claim_request.ClaimRequest)]


def sent(actions):
    """Return the headers of what goes to the upstream."""
    found = [a for a in actions if isinstance(a, send_upstream.SendUpstream)]
    return [header.read(a.datagram) for a in found]


def told(actions):
    """Return (token, payload) of what goes back to callers."""
    found = [
        packet.decode(a.body)
        for a in actions
        if isinstance(a, send_frame.SendFrame) and a.kind == kind.Kind.RETURN
    ]
    messages = [aiocoap.Message.decode(p.datagram) for p in found]
    return [(m.token, m.payload) for m in messages]
