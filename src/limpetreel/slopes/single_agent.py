"""An agent that is the only one of its class, without sockets."""

from __future__ import annotations

import time

from limpetreel.agent import agent_core
from limpetreel.agent.actions import send_upstream
from limpetreel.agent.events import upstream_announced, upstream_datagram
from limpetreel.catalog import node_identity
from limpetreel.coap import coap_protocol, header
from limpetreel.core import failure
from limpetreel.flows import flow_key
from limpetreel.measure import fake_caller
from limpetreel.node import frame_arrived, node_link, send_frame, tick
from limpetreel.slopes import sample_site
from limpetreel.wire import address, frame_codec, kind, mode, packet

KEY = b"measurement cluster key"
CONTENT = 0x45
ACKNOWLEDGEMENT = 0x60


class SingleAgent:
    """Drives an agent core with frames of an entry and answers of an upstream.

    Parameters
    ----------
    members : int
        Agents of the class in the table; the others do not exist.
    scale : float
        Part of the design size whose entries are in the table.
    """

    def __init__(self, members: int = 1, scale: float = 0.0) -> None:
        own = sample_site.agent(0, 0)
        names = node_identity.NodeIdentity.__struct_fields__
        ident = node_identity.NodeIdentity(**{f: getattr(own, f) for f in names})
        control = [address.Address(0x7F000001, 9)]
        self.link = node_link.NodeLink(ident, control, 1)
        items = [*sample_site.zones(), *sample_site.classes(1)]
        items += [sample_site.agent(i, 0) for i in range(members)]
        items += [sample_site.entry(i) for i in range(round(770 * scale))]
        self.link.table.replace(items, 10_000, 10_000)
        self.core = agent_core.AgentCore(self.link, coap_protocol.CoapProtocol(), 1)
        self.now = 0.0
        self.served = 0
        self.busy_s = 0.0
        self._own = frame_codec.FrameCodec(KEY, own.node_id, own.incarnation)
        self._entry = frame_codec.FrameCodec(KEY, 1, 1)
        self._target = own.incarnation
        self._message_id = 0
        event = upstream_announced.UpstreamAnnounced("class-00000", "run", False)
        self.core.handle(self.now, event)
        self.tick()

    def tick(self) -> None:
        """Renew the lease and let time pass."""
        self.link.right.renew(self.now, 2_000)
        self.core.handle(self.now, tick.Tick())

    def request(self, caller: address.Address) -> None:
        """Send one GET and its answer; add the processor time to `busy_s`."""
        self._message_id = (self._message_id + 1) % 0x10000
        token = self._message_id.to_bytes(4, "big")
        datagram = fake_caller.build_request("request", True, self._message_id, token)
        flow = flow_key.FlowKey(1, caller)
        body = packet.encode(
            packet.Packet(
                1,
                flow.bucket(),
                0,
                mode.Mode.FIND,
                1_500,
                self.link.table.revision,
                0,
                caller,
                address.Address(0x7F000002, 7_000),
                datagram,
            )
        )
        data = self._entry.encode(kind.Kind.FORWARD, self._target, body)
        started = time.process_time()
        found = self._own.decode(data)
        assert not isinstance(found, failure.Failure)
        source = address.Address(0x7F000002, 7_000)
        actions = self.core.handle(self.now, frame_arrived.FrameArrived(source, found))
        self.busy_s += time.process_time() - started
        for action in actions:
            if isinstance(action, send_upstream.SendUpstream):
                self._answer(caller, action.datagram)
        self.now += 0.005

    def _answer(self, caller: address.Address, datagram: bytes) -> None:
        head = header.read(datagram)
        assert isinstance(head, header.Header)
        first = ACKNOWLEDGEMENT | len(head.token)
        fixed = header.FIXED.pack(first, CONTENT, head.message_id)
        answer = fixed + head.token + b"\xff" + bytes(40)
        event = upstream_datagram.UpstreamDatagram(caller, answer)
        self.now += 0.002
        started = time.process_time()
        for action in self.core.handle(self.now, event):
            if isinstance(action, send_frame.SendFrame):
                self._own.encode(action.kind, action.target, action.body)
                self.served += 1
        self.busy_s += time.process_time() - started
