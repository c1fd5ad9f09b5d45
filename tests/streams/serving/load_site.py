"""Site with several routes, requests of several packets and several requests a flow."""

from __future__ import annotations

import dataclasses
import itertools

from limpetreel.configuration import (
    configuration,
    request_kind,
    route,
    service,
    weighted_service,
)
from limpetreel.streams import stream_key
from limpetreel.streams.messages import stream_codec, verdict
from tests.streams import stream_site

FULL_BYTES = 1200
LINK_SECONDS = 0.003
RETRANSMIT_SECONDS = (0.2, 0.6, 1.4)
SHED, OK = b"shed", b"ok"
IDEMPOTENT = request_kind.RequestKind.IDEMPOTENT
NON_IDEMPOTENT = request_kind.RequestKind.NON_IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class Load:
    """Requests of one route."""

    name: str
    port: int
    kind: request_kind.RequestKind
    work_s: float
    answer_ms: int
    timeout_ms: int
    priority: int = 1


FEEDS = Load("feeds", 8081, IDEMPOTENT, 0.0564, 556, 3832, 2)
LOOKUPS = Load("lookups", 8082, NON_IDEMPOTENT, 0.0732, 564, 5059, 1)
UPLOADS = Load("uploads", 8083, NON_IDEMPOTENT, 0.005, 1133, 8463, 2)


def make_site(seed, upstreams, slots, loads=(FEEDS, LOOKUPS, UPLOADS), entries=3):
    """Return a site that serves some loads; `upstreams` are work factors."""
    weighted = weighted_service.WeightedService(stream_site.SERVICE, 1)
    routes = tuple(
        route.Route(
            load.name,
            stream_site.HOST,
            load.port,
            load.kind,
            load.timeout_ms,
            load.answer_ms,
            load.priority,
            (weighted,),
        )
        for load in loads
    )
    limits = service.Service(stream_site.SERVICE, 2000, 2.0, 0.0)
    cfg = configuration.Configuration(1, routes, (limits,), 15_000)
    site = stream_site.StreamSite(seed, upstreams, slots, entries, cfg)
    works = {load.port: load.work_s for load in loads}
    for name, old in list(site.upstreams.items()):
        new = Upstream(site, name, slots, old.work_s, works)
        new.sequence = old.sequence
        site.upstreams[name] = new
    site.verdicts = []
    site.flow_ports = itertools.count()
    site.on_action = lambda node, action: note_verdict(site, node, action)
    return site


def note_verdict(site, node, action):
    """Keep the verdicts of agents."""
    if isinstance(action, stream_site.send_node.SendNode) and node in site.agents:
        message = stream_codec.decode(action.data)
        if isinstance(message, verdict.Verdict):
            site.verdicts.append((site.now, node, message))


class Upstream(stream_site.Upstream):
    """Upstream that starts a request once all of its packets have arrived."""

    def __init__(self, site, name, slots, factor, works):
        super().__init__(site, name, slots, factor)
        self.works = works
        self.parts = {}
        self.expected = {}
        self.runs = []
        self.closed = set()

    def receive(self, now, data):
        """Handle a packet from the agent."""
        segment = stream_site.CODEC.from_caller(data)
        if segment.is_open or segment.flow not in self.flows or not self.is_up:
            super().receive(now, data)
            return
        if segment.is_reset or segment.is_fin:
            self.closed.add(segment.flow)
            self.send(segment.flow, stream_site.FIN, self.flows[segment.flow] + 1)
        elif segment.size:
            self.receive_data(now, segment)

    def receive_data(self, now, segment):
        """Start the request if it is complete."""
        flow = segment.flow
        parts = self.parts.setdefault(flow, {})
        parts[segment.sequence] = segment.size
        at, last = self.expected.get(flow, 1), 0
        while at in parts:
            last = parts.pop(at)
            at += last
        self.expected[flow] = at
        if not last or last == FULL_BYTES:
            self.send(flow, stream_site.ACK, self.flows[flow] + 1)
        elif self.in_progress < self.slots:
            self.work(now, flow)
        elif len(self.waiting) < 4 * self.slots:
            self.waiting.append(flow)
        else:
            self.answer(flow, SHED)

    def work(self, now, flow):
        """Process a request in a free slot."""
        self.in_progress += 1
        self.runs.append((now, flow))
        port = stream_key.service(flow)[1]
        work_s = self.site.random.uniform(0.7, 1.3) * self.work_s * self.works[port]
        start = self.start
        self.site.after(work_s, lambda at: self.finish(at, flow, start))


class Flow:
    """Caller that sends requests one after another on a flow, and opens the next one.

    Parameters
    ----------
    site : StreamSite
        The site.
    load : Load
        Route of the requests.
    host : str
        Address of the caller.
    packets, transfer_s : int, float
        Packets of a request, and the time in which they are sent.
    """

    def __init__(self, site, load, host, packets=1, transfer_s=0.0):
        self.site, self.load, self.host = site, load, host
        self.packets, self.transfer_s = packets, transfer_s
        self.requests = []
        self.request = None
        self.flow = b""
        self.then = lambda: None

    def ask(self, then=lambda: None):
        """Send a request; call `then` once it is over."""
        self.then = then
        self.request = stream_site.Request(self.site.now)
        self.requests.append(self.request)
        request = self.request
        self.site.after(self.load.timeout_ms / 1000, lambda at: self.give_up(request))
        if self.flow:
            self.send_request(request)
        else:
            self.open(request)

    def open(self, request):
        """Open a flow, three attempts at most."""
        if request is not self.request or request.answered_at is not None:
            return
        if request.tries == 3:
            self.finish()
            return
        request.tries += 1
        port = next(self.site.flow_ports) % 60000 + 1024
        caller = stream_key.pack(self.host, port)
        self.flow = caller + stream_key.pack(stream_site.HOST, self.load.port)
        self.sequence, self.is_open = 1, False
        self.site.callers[self.flow] = self
        for i, seconds in enumerate((0.0, 0.2, 0.6)):
            self.site.after(seconds, lambda at, f=self.flow, i=i: self.send_open(f, i))
        self.site.after(1.4, lambda at, f=self.flow: self.time_out(f, request))

    def send_open(self, flow, number):
        """Send a copy of the opening packet."""
        if flow == self.flow and not self.is_open:
            self.site.from_caller(
                flow, stream_site.make_packet(flow, stream_site.SYN, ack=number)
            )

    def time_out(self, flow, request):
        """End an attempt that has not opened."""
        if flow == self.flow and not self.is_open:
            self.retry(request)

    def retry(self, request):
        """Start the next attempt on a new flow."""
        self.drop()
        self.site.after(0.05, lambda at: self.open(request))

    def drop(self):
        """Leave the flow."""
        self.site.callers.pop(self.flow, None)
        self.flow = b""

    def send_request(self, request):
        """Send the packets of a request, and copies until it is answered."""
        first = self.sequence
        step = self.transfer_s / max(1, self.packets - 1)
        for copy_at in (0.0, *RETRANSMIT_SECONDS):
            for i in range(self.packets):
                size = FULL_BYTES if i < self.packets - 1 else 100
                at = copy_at + (i * step if not copy_at else self.transfer_s)
                packet = stream_site.make_packet(
                    self.flow,
                    stream_site.ACK,
                    first + i * FULL_BYTES,
                    self.ack,
                    b"?" * size,
                )
                self.site.after(
                    at, lambda now, p=packet, f=self.flow: self.send(p, f, request)
                )
        self.sequence += (self.packets - 1) * FULL_BYTES + 100

    def send(self, packet, flow, request):
        """Send a packet while the request is open."""
        if flow == self.flow and request is self.request:
            self.site.from_caller(flow, packet)

    def receive(self, segment):
        """Handle a packet."""
        if segment.flow != self.flow or self.request is None:
            return
        if segment.is_reset:
            self.request.refused += 1
            self.retry(self.request)
        elif segment.is_open_reply and not self.is_open:
            self.is_open = True
            self.ack = (segment.sequence + 1) & 0xFFFFFFFF
            self.send_request(self.request)
        elif segment.size and segment.data.endswith(SHED):
            self.request.refused += 1
            self.close()
            self.retry(self.request)
        elif segment.size:
            self.request.answered_at = self.site.now
            self.finish()

    def give_up(self, request):
        """Leave the flow at the deadline."""
        if request is self.request:
            self.close()
            self.drop()
            self.finish()

    def close(self):
        """Close the flow."""
        if self.flow:
            self.site.from_caller(
                self.flow,
                stream_site.make_packet(
                    self.flow, stream_site.FIN, self.sequence, getattr(self, "ack", 0)
                ),
            )

    def finish(self):
        """End the request."""
        self.request = None
        self.then()


def single_requests(site, load, per_second, seconds, packets=1, transfer_s=(0.0, 0.0)):
    """Let callers send one request a flow at random times; return them."""
    flows, at = [], 0.0
    while (at := at + site.random.expovariate(per_second)) < seconds:
        host = f"100.66.{len(flows) >> 8 & 255}.{len(flows) & 255}"
        flow = Flow(site, load, host, packets, site.random.uniform(*transfer_s))
        flows.append(flow)
        site.after(at, lambda now, f=flow: f.ask(lambda: (f.close(), f.drop())))
    return flows


def long_flows(site, load, count, pause_s, seconds):
    """Let callers send requests on long flows with random pauses; return them."""
    flows, ends_at = [], site.now + seconds
    for i in range(count):
        flow = Flow(site, load, f"100.67.{i >> 8 & 255}.{i & 255}")
        flows.append(flow)
        site.after(site.random.uniform(0, pause_s), lambda now, f=flow: again(f))

    def again(flow):
        if site.now < ends_at:
            wait = site.random.expovariate(1 / pause_s)
            flow.ask(lambda: site.after(wait, lambda now: again(flow)))

    return flows


def in_time(flows, since=0.0):
    """Return the share of requests that were answered within the latency target."""
    asked = [(f, r) for f in flows for r in f.requests if r.began_at >= since]
    good = sum(
        r.answered_at is not None
        and r.answered_at - r.began_at <= f.load.answer_ms / 1000
        for f, r in asked
    )
    return good / max(1, len(asked))
