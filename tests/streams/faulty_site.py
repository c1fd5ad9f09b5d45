"""Site whose messages between nodes can be lost or late, and a record of packets."""

from __future__ import annotations

from limpetreel.streams.actions import send_node, send_upstream
from limpetreel.streams.events import node_datagram
from limpetreel.streams.messages import stream_codec
from tests.streams import stream_site, test_ended_flows

WINDOW_SECONDS = 2.0
MAX_MISDIRECTED = 2


class FaultySite(stream_site.StreamSite):
    """Site with faults between nodes.

    Its attribute `delay` maps source, target and message to a delay in seconds, None
    for a loss.
    """

    def __init__(self, *args, **kwargs):
        self.arrivals = []
        self.delay = lambda source, target, message: stream_site.LINK_SECONDS
        super().__init__(*args, **kwargs)

    def execute(self, name, action):
        """Carry out an action of a node, with the faults."""
        if isinstance(action, send_upstream.SendUpstream):
            segment = stream_site.CODEC.from_caller(action.data)
            if not segment.is_open:
                self.arrivals.append((self.now, name, segment.flow))
        if not isinstance(action, send_node.SendNode):
            super().execute(name, action)
            return
        self.on_action(name, action)
        self.messages += 1
        target = action.address[0]
        seconds = self.delay(name, target, stream_codec.decode(action.data))
        if seconds is not None:
            event = node_datagram.NodeDatagram(name, 1, action.data)
            self.after(seconds, lambda at: self.to_core(target, event))

    def misdirected(self, owners):
        """Return flows of which too many packets reached upstreams that lack them.

        Parameters
        ----------
        owners : dict of bytes to str
            Agent beside the upstream of each flow that lives.
        """
        broken = set()
        for flow, owner in owners.items():
            times = [(at, name == owner) for at, name, f in self.arrivals if f == flow]
            foreign = [at for at, is_own in times if not is_own]
            for first in foreign:
                until = first + WINDOW_SECONDS
                count = sum(first <= at <= until for at in foreign)
                is_reached = any(first <= at <= until for at, own in times if own)
                if count > MAX_MISDIRECTED and not is_reached:
                    broken.add(flow)
        return broken


def make_site(seed, upstreams=6, entries=2):
    """Return a site whose nodes have the complete list of agents."""
    site = FaultySite(seed, [0.005] * upstreams, slots=8, entries=entries)
    site.is_list_current = True
    site.update_all()
    site.run(test_ended_flows.SETTLED_SECONDS)
    return site


def owners(site, callers, only=""):
    """Return the agent beside the upstream of each flow."""
    return {
        caller.flow: name
        for caller in callers
        for name, upstream in site.upstreams.items()
        if caller.flow in upstream.flows and only in ("", name)
    }


def restart_agents(site, names):
    """Start agents anew beside upstreams that have run for some time."""
    for name in names:
        site.upstreams[name].status()
        site.start_agent(name)
        site.announce(name)


def restart_entries(site):
    """Start all entries anew."""
    for name in list(site.entries):
        site.start_entry(name)
