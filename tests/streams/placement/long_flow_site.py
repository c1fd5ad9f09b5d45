"""Simulated site whose callers send several requests on a flow, with pauses."""

from __future__ import annotations

from limpetreel.streams.actions import send_node
from limpetreel.streams.messages import stream_codec, verdict
from tests.streams import stream_site

SAMPLE_SECONDS = 0.1
WINDOW_SAMPLES = 40
LONG_REQUESTS = 2
"""Requests of a flow after which agents report that flows of the route are long."""


class LongFlowSite(stream_site.StreamSite):
    """Site with long flows; fills in what agents report about them."""

    def __init__(self, *args, **kwargs):
        self.utilisations = {}
        self.is_long = False
        super().__init__(*args, **kwargs)
        self.sample(0.0)

    def sample(self, now):
        """Update the utilisation of the last seconds of each upstream."""
        for name, upstream in self.upstreams.items():
            share = upstream.in_progress / upstream.slots
            old = self.utilisations.get(name, 0.0)
            self.utilisations[name] = old + (share - old) * 2 / WINDOW_SAMPLES
        self.after(SAMPLE_SECONDS, self.sample)

    def execute(self, name, action):
        """Carry out an action; agents report flows and utilisation."""
        if isinstance(action, send_node.SendNode) and name in self.agents:
            message = stream_codec.decode(action.data)
            if isinstance(message, verdict.Verdict):
                filled = stream_site.replace(
                    message,
                    flows=len(self.upstreams[name].flows),
                    utilisation=int(100 * self.utilisations.get(name, 0.0)),
                    is_long=self.is_long,
                )
                data = stream_codec.encode(filled)
                action = stream_site.replace(action, data=data)
        super().execute(name, action)

    def open_flows(self, count, seconds, requests, pause_s):
        """Let callers open flows; each flow that ends is followed by another."""
        for _ in range(count):
            at = self.random.uniform(0.0, seconds)
            self.after(at, lambda now: LongCaller(self, requests, pause_s).open())

    def served(self):
        """Return the requests that each upstream has answered."""
        return {n: u.served for n, u in self.upstreams.items()}


class LongCaller(stream_site.Caller):
    """Caller that sends several requests on one flow and then opens the next."""

    def __init__(self, site, requests, pause_s):
        super().__init__(site, stream_site.Request(site.now), 0)
        self.requests, self.pause_s = requests, pause_s
        self.sent = 0
        self.ack = 0

    def ask(self, now):
        """Send the next request."""
        self.sent += 1
        if self.sent >= LONG_REQUESTS:
            self.site.is_long = True
        packet = stream_site.make_packet(
            self.flow, stream_site.ACK, self.sent, self.ack, b"?"
        )
        self.site.from_caller(self.flow, packet)

    def time_out(self, now):
        """End the attempt if it has not been opened."""
        if not self.is_open and not self.is_over:
            self.end()

    def receive(self, segment):
        """Handle a packet."""
        if self.is_over:
            return
        is_shed = segment.data.endswith(b"shed")
        if segment.is_open_reply and not self.is_open:
            self.is_open = True
            self.ack = (segment.sequence + 1) & 0xFFFFFFFF
            self.ask(self.site.now)
        elif segment.size and self.sent < self.requests and not is_shed:
            pause = self.site.random.expovariate(1 / self.pause_s)
            self.site.after(pause, self.ask)
        elif segment.is_reset or segment.size:
            self.end()

    def end(self):
        """End this flow and open the next one."""
        self.is_over = True
        self.site.callers.pop(self.flow, None)
        for upstream in self.site.upstreams.values():
            upstream.flows.pop(self.flow, None)
        again = LongCaller(self.site, self.requests, self.pause_s)
        self.site.after(stream_site.RETRY_SECONDS, lambda at: again.open())
