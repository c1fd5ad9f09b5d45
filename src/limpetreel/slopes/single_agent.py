"""Agent without sockets that is the only running one of its class."""

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
CONTENT_CODE = 0x45
ACK_HEADER = 0x60


class SingleAgent:
    """Runs an agent core on frames from an entry and answers from an upstream.

    Parameters
    ----------
    members : int
        Agents of the class in the table; only the first of them runs.
    scale : float
        Number of entries in the table as a ratio of the design size.
    """

    def __init__(self, members: int = 1, scale: float = 0.0) -> None:
        record = sample_site.agent(0, 0)
        names = node_identity.NodeIdentity.__struct_fields__
        identity = node_identity.NodeIdentity(**{f: getattr(record, f) for f in names})
        controls = [address.Address(0x7F000001, 9)]
        self.link = node_link.NodeLink(identity, controls, 1)
        records = [*sample_site.zones(), *sample_site.classes(1)]
        records += [sample_site.agent(i, 0) for i in range(members)]
        records += [sample_site.entry(i) for i in range(round(770 * scale))]
        self.link.table.replace(records, 10_000, 10_000)
        self.core = agent_core.AgentCore(self.link, coap_protocol.CoapProtocol(), 1)
        self.now = 0.0
        self.served = 0
        self.busy_s = 0.0
        self._agent_codec = frame_codec.FrameCodec(
            KEY, record.node_id, record.incarnation
        )
        self._entry_codec = frame_codec.FrameCodec(KEY, 1, 1)
        self._agent_incarnation = record.incarnation
        self._message_id = 0
        event = upstream_announced.UpstreamAnnounced("class-00000", "run", False)
        self.core.handle(self.now, event)
        self.tick()

    def tick(self) -> None:
        """Renew the lease and trigger the regular timer."""
        self.link.right.renew(self.now, 2_000)
        self.core.handle(self.now, tick.Tick())

    def request(self, caller: address.Address) -> None:
        """Handle one GET and its answer; add the processor time to `busy_s`."""
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
        data = self._entry_codec.encode(
            kind.Kind.FORWARD, self._agent_incarnation, body
        )
        started = time.process_time()
        received = self._agent_codec.decode(data)
        assert not isinstance(received, failure.Failure)
        source = address.Address(0x7F000002, 7_000)
        actions = self.core.handle(
            self.now, frame_arrived.FrameArrived(source, received)
        )
        self.busy_s += time.process_time() - started
        for action in actions:
            if isinstance(action, send_upstream.SendUpstream):
                self._answer(caller, action.datagram)
        self.now += 0.005

    def _answer(self, caller: address.Address, datagram: bytes) -> None:
        head = header.read(datagram)
        assert isinstance(head, header.Header)
        first = ACK_HEADER | len(head.token)
        fixed = header.FIXED.pack(first, CONTENT_CODE, head.message_id)
        answer = fixed + head.token + b"\xff" + bytes(40)
        event = upstream_datagram.UpstreamDatagram(caller, answer)
        self.now += 0.002
        started = time.process_time()
        for action in self.core.handle(self.now, event):
            if isinstance(action, send_frame.SendFrame):
                self._agent_codec.encode(action.kind, action.target, action.body)
                self.served += 1
        self.busy_s += time.process_time() - started
