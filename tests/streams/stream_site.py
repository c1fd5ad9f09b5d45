"""Entries, agents, upstreams and callers on one simulated clock.

The simulation drives the production cores. Upstreams have slots, a short queue and a
service time; callers retransmit the opening packet, time out and retry on a new flow.
"""

from __future__ import annotations

import dataclasses
import functools
import heapq
import itertools
import random

import msgspec
import xxhash

from limpetreel.cluster import fleet_view, upstream_record
from limpetreel.configuration import (
    configuration,
    request_kind,
    route,
    service,
    weighted_service,
)
from limpetreel.node import tick
from limpetreel.platform import segment_format
from limpetreel.streams import (
    stream_agent_core,
    stream_entry_core,
    stream_key,
    upstream_status,
)
from limpetreel.streams.actions import (
    log_line,
    send_caller,
    send_node,
    send_upstream,
)
from limpetreel.streams.events import (
    caller_packet,
    fleet_changed,
    node_datagram,
    upstream_announced,
    upstream_packet,
)

SERVICE = "bookings"
HOST, PORT = "198.18.0.1", 8080
CALLER_SECONDS = 0.003
LINK_SECONDS = 0.0005
ANNOUNCEMENT_SECONDS = 1.2
TICK_SECONDS = 0.02
RETRANSMIT_SECONDS = (0.2, 0.6)
OPEN_TIMEOUT_SECONDS = 1.4
RETRY_SECONDS = 0.05
CODEC = segment_format.SegmentFormat()


def make_configuration(version=1, answer_ms=200, timeout_ms=1200, cold_per_s=0.0):
    """Return a configuration with one route."""
    weighted = weighted_service.WeightedService(SERVICE, 1)
    checks_route = route.Route(
        "checks",
        HOST,
        PORT,
        request_kind.RequestKind.IDEMPOTENT,
        timeout_ms,
        answer_ms,
        1,
        (weighted,),
    )
    limits = service.Service(SERVICE, 2000, 2.0, cold_per_s)
    return configuration.Configuration(version, (checks_route,), (limits,), 15_000)


def make_packet(flow, flags, seq=0, ack=0, data=b"", from_caller=True):
    """Return a packet in the platform's format."""
    head = bytearray(CODEC.reset(flow, seq))
    head[0] = flags
    head[2:4] = len(data).to_bytes(2, "big")
    if from_caller:
        head[8:12], head[16:20] = flow[0:4], flow[6:10]
        head[12:14], head[14:16] = flow[10:12], flow[4:6]
    head[24:28] = ack.to_bytes(4, "big")
    return bytes(head) + data


SYN, SYN_ACK, ACK, FIN, RST, BOUNCED = 128, 130, 2, 34, 16, 8


@dataclasses.dataclass
class Request:
    """One request of a caller, over all its attempts."""

    began_at: float
    answered_at: float | None = None
    refused: int = 0
    tries: int = 0


class Upstream:
    """Simulated upstream with slots and a bounded queue."""

    def __init__(self, site, name, slots, work_s):
        self.site, self.name, self.slots, self.work_s = site, name, slots, work_s
        self.is_up = True
        self.stalled_until = 0.0
        self.in_progress = 0
        self.waiting = []
        self.flows = {}
        self.received = set()
        self.served = 0
        self.sequence = itertools.count(1)
        self.start = 0
        self.cold_ms = 0
        self.draining = False

    def receive(self, now, data):
        """Handle a packet from the agent."""
        if not self.is_up:
            return
        if now < self.stalled_until:
            wait = self.stalled_until - now
            self.site.after(wait, lambda at: self.receive(at, data))
            return
        segment = CODEC.from_caller(data)
        if segment.is_open:
            first = self.flows.setdefault(
                segment.flow, self.site.random.getrandbits(31)
            )
            self.send(segment.flow, SYN_ACK, first)
        elif segment.flow not in self.flows:
            returned = bytearray(data)
            returned[0] |= BOUNCED
            self.site.from_upstream(self.name, bytes(returned))
        elif (segment.flow, segment.sequence) in self.received:
            self.send(segment.flow, ACK, self.flows[segment.flow] + 1)
        elif segment.size:
            self.received.add((segment.flow, segment.sequence))
            if self.in_progress < self.slots:
                self.work(now, segment.flow)
            elif len(self.waiting) < 4 * self.slots:
                self.waiting.append(segment.flow)
            else:
                self.answer(segment.flow, b"shed")

    def work(self, now, flow):
        """Process a request in a free slot."""
        self.in_progress += 1
        work_s = self.site.random.uniform(0.5, 1.5) * self.work_s
        start = self.start
        self.site.after(work_s, lambda at: self.finish(at, flow, start))

    def finish(self, now, flow, start):
        """Answer a request and start the next waiting one."""
        if start != self.start:
            return
        self.in_progress -= 1
        self.served += 1
        self.answer(flow, b"ok")
        if self.waiting:
            self.work(now, self.waiting.pop(0))

    def answer(self, flow, data):
        """Send an answer."""
        self.send(flow, ACK, self.flows.get(flow, 0) + 1, data)

    def send(self, flow, flags, seq, data=b""):
        """Send a packet through the agent."""
        if self.is_up:
            packet = make_packet(flow, flags, seq, 0, data, from_caller=False)
            self.site.from_upstream(self.name, packet)

    def restart(self, cold_ms=0):
        """Restart without any flows."""
        self.start += 1
        self.in_progress, self.waiting, self.flows = 0, [], {}
        self.received = set()
        self.sequence = itertools.count(1)
        self.cold_ms = cold_ms

    def status(self):
        """Return the next announcement."""
        return upstream_status.UpstreamStatus(
            f"i-{self.name}-{self.start}",
            self.start,
            next(self.sequence),
            SERVICE,
            self.slots,
            self.draining,
            self.cold_ms,
        )


class StreamSite:
    """Site of entries, agents and upstreams on a simulated clock.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    work_seconds : sequence of float
        Mean work in seconds of each upstream.
    slots : int
        Slots of each upstream.
    entries : int
        Number of entries.
    configuration : Configuration
        Configuration in force.
    """

    def __init__(self, seed, work_seconds, slots=2, entries=3, configuration=None):
        self.random = random.Random(seed)
        self.now = 0.0
        self.queue = []
        self.order = itertools.count()
        self.cfg = configuration or make_configuration()
        self.timeout_s = self.cfg.routes[0].timeout_ms / 1000
        self.answer_s = self.cfg.routes[0].answer_ms / 1000
        self.zones_out = frozenset()
        self.names = [f"agent-{i}" for i in range(len(work_seconds))]
        self.upstreams = {
            n: Upstream(self, n, slots, s)
            for n, s in zip(self.names, work_seconds, strict=True)
        }
        self.agents = {}
        self.entries = {}
        self.down = set()
        self.unreported = set()
        self.is_list_current = False
        self.update_seconds = 2 * LINK_SECONDS
        self.is_checked = set()
        self.messages = 0
        self.on_action = lambda node, action: None
        self.log_lines = []
        self.requests = []
        self.callers = {}
        self.ports = itertools.count(1024)
        self.opened = []
        for name in self.names:
            self.start_agent(name)
            self.announce_regularly(0.0, name)
        for i in range(entries):
            self.start_entry(f"entry-{i}")
        self.ticks(0.0)

    def start_agent(self, name):
        """Start an agent without any state."""
        self.agents[name] = stream_agent_core.StreamAgentCore(
            self.now, CODEC, SERVICE, "zone-a", ANNOUNCEMENT_SECONDS, 60.0
        )
        self.to_core(name, self.fleet_update())

    def start_entry(self, name):
        """Start an entry without any known flows."""
        self.entries[name] = stream_entry_core.StreamEntryCore(
            CODEC, "zone-a", self.random.getrandbits(32)
        )
        self.to_core(name, self.fleet_update())

    def fleet_update(self):
        """Return the current update from control."""
        records = tuple(
            upstream_record.UpstreamRecord(
                n,
                n,
                1,
                "zone-a",
                SERVICE,
                not u.draining,
                u.slots,
                n not in self.unreported,
            )
            for n, u in self.upstreams.items()
        )
        view = fleet_view.FleetView(
            1, self.cfg, self.zones_out, records, self.is_list_current
        )
        return fleet_changed.FleetChanged(view)

    def update_all(self):
        """Send the current update from control to all nodes."""
        for name in (*self.agents, *self.entries):
            self.send_update(name, self.now)

    def send_update(self, name, asked_at):
        """Send the current update from control to a node, which has asked for it."""
        self.is_checked.discard(name)
        event = self.fleet_update()
        if self.is_list_current:
            event = replace(event, complete_until=asked_at)
        self.to_core(name, event)

    def after(self, seconds, call):
        """Schedule a call."""
        heapq.heappush(self.queue, (self.now + seconds, next(self.order), call))

    def run(self, until):
        """Advance the simulated clock."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self.queue)
            call(self.now)
        self.now = until

    def ticks(self, now):
        """Tick all cores periodically."""
        for name in (*self.agents, *self.entries):
            self.to_core(name, tick.Tick())
        for name, entry in self.entries.items():
            if entry.awaits_list and name not in self.is_checked:
                self.is_checked.add(name)
                update = functools.partial(self.send_update, name, self.now)
                self.after(self.update_seconds, lambda at, update=update: update())
        self.after(TICK_SECONDS, self.ticks)

    def announce(self, name):
        """Pass one announcement of an upstream to its agent."""
        upstream = self.upstreams[name]
        if upstream.is_up:
            self.to_core(name, upstream_announced.UpstreamAnnounced(upstream.status()))

    def announce_regularly(self, now, name):
        """Pass announcements of an upstream periodically."""
        self.announce(name)
        self.after(ANNOUNCEMENT_SECONDS, lambda at: self.announce_regularly(at, name))

    def to_core(self, name, event):
        """Pass an event to a node."""
        core = self.agents.get(name) or self.entries.get(name)
        if core is None or name in self.down:
            return
        for action in core.handle(self.now, event):
            self.execute(name, action)

    def execute(self, name, action):
        """Carry out an action of a node."""
        self.on_action(name, action)
        match action:
            case send_node.SendNode():
                self.messages += 1
                event = node_datagram.NodeDatagram(name, 1, action.data)
                target = action.address[0]
                self.after(LINK_SECONDS, lambda at: self.to_core(target, event))
            case send_caller.SendCaller():
                data = action.data
                self.after(CALLER_SECONDS, lambda at: self.to_caller(data))
            case send_upstream.SendUpstream():
                data = action.data
                if CODEC.from_caller(data).is_open:
                    self.opened.append((self.now, name))
                self.upstreams[name].receive(self.now, data)
            case log_line.LogLine():
                self.log_lines.append((self.now, name, action))

    def from_upstream(self, name, data):
        """Deliver a packet of an upstream to its agent."""
        event = upstream_packet.UpstreamPacket(data)
        self.after(0.0, lambda at: self.to_core(name, event))

    def from_caller(self, flow, data):
        """Deliver a packet of a caller to the entry that the hash selects."""
        alive = [n for n in self.entries if n not in self.down]
        if not alive:
            return
        name = max(alive, key=lambda n: xxhash.xxh64_intdigest(n.encode() + flow))
        event = caller_packet.CallerPacket(data)
        self.after(CALLER_SECONDS, lambda at: self.to_core(name, event))

    def load(self, per_second, seconds, retries=2):
        """Let callers send requests at random times."""
        at = 0.0
        while at < seconds:
            at += self.random.expovariate(per_second)
            request = Request(self.now + at)
            self.requests.append(request)
            self.after(
                at, lambda now, request=request: Caller(self, request, retries).open()
            )

    def to_caller(self, data):
        """Deliver a packet to a caller."""
        segment = CODEC.from_upstream(data)
        caller = self.callers.get(segment.flow)
        if caller is not None:
            caller.receive(segment)

    def in_time(self, since=0.0, until=float("inf")):
        """Return the share of requests of a period that were answered in time."""
        asked = [r for r in self.requests if since <= r.began_at < until]
        good = [
            r
            for r in asked
            if r.answered_at is not None and r.answered_at - r.began_at <= self.answer_s
        ]
        return len(good) / max(1, len(asked))


class Caller:
    """One attempt of a request; further attempts use a new flow."""

    def __init__(self, site, request, retries):
        self.site, self.request, self.retries = site, request, retries
        number = next(site.ports)
        caller = (
            f"100.64.{number >> 16 & 255}.{number >> 8 & 255}",
            number % 60000 + 1,
        )
        self.flow = stream_key.pack(*caller) + stream_key.pack(HOST, PORT)
        self.is_open = False
        self.is_over = False

    def open(self):
        """Send the opening packet and schedule its retransmissions."""
        self.request.tries += 1
        self.site.callers[self.flow] = self
        self.site.from_caller(self.flow, make_packet(self.flow, SYN))
        for i, seconds in enumerate(RETRANSMIT_SECONDS):
            copy = make_packet(self.flow, SYN, ack=i + 1)
            self.site.after(seconds, lambda at, copy=copy: self.retransmit(copy))
        left = self.request.began_at + self.site.timeout_s - self.site.now
        self.site.after(min(left, OPEN_TIMEOUT_SECONDS), self.time_out)

    def retransmit(self, packet):
        """Retransmit the opening packet while the flow is not open."""
        if not self.is_open and not self.is_over:
            self.site.from_caller(self.flow, packet)

    def time_out(self, now):
        """End the attempt at its timeout."""
        self.is_over = True
        self.site.callers.pop(self.flow, None)

    def receive(self, segment):
        """Handle a packet."""
        if self.is_over:
            return
        if segment.is_reset:
            self.request.refused += 1
            self.end()
        elif segment.is_open_reply and not self.is_open:
            self.is_open = True
            ack = (segment.sequence + 1) & 0xFFFFFFFF
            self.site.from_caller(self.flow, make_packet(self.flow, ACK, 1, ack, b"?"))
        elif segment.size and segment.data.endswith(b"ok"):
            self.request.answered_at = self.site.now
            self.is_over = True
            self.site.callers.pop(self.flow, None)
        elif segment.size:
            self.end()

    def end(self):
        """End this attempt and start the next one if retries are left."""
        self.is_over = True
        self.site.callers.pop(self.flow, None)
        ends_at = self.request.began_at + self.site.timeout_s
        if self.retries and self.site.now < ends_at:
            again = Caller(self.site, self.request, self.retries - 1)
            self.site.after(RETRY_SECONDS, lambda at: again.open())


def replace(record, **changes):
    """Return a changed copy of a record."""
    return msgspec.structs.replace(record, **changes)
