"""Site whose messages between nodes can be lost or late, and a record of packets."""

from __future__ import annotations

from limpetreel.streams import stream_agent_core
from limpetreel.streams.actions import send_node, send_upstream
from limpetreel.streams.events import node_datagram, upstream_announced
from limpetreel.streams.messages import stream_codec
from limpetreel.streams.ownership import process_start
from tests.streams import stream_site

WINDOW_SECONDS = 2.0
MAX_MISDIRECTED = 2
CONTACT_SECONDS = 5.0
"""Time after a restart of the owner's agent in which the bound does not hold."""
MAX_DOWN_SECONDS = 3.0
"""Longest time for which a test keeps an agent down before it starts again."""
SETTLED_SECONDS = 0.2
COLD_SECONDS = 2.0
"""Time for which an upstream is cold in the configuration of the site."""
UNIX_MS = 1_700_000_000_000
"""Time of day at the start of the simulation."""


class FaultySite(stream_site.StreamSite):
    """Site with faults between nodes.

    Its attribute `delay` maps source, target and message to a delay in seconds, None
    for a loss. Upstreams in `started_at` announce the time of their start, and agents
    in `created_at` know that of their process.
    """

    def __init__(self, *args, **kwargs):
        self.arrivals = []
        self.restarts = {}
        self.started_at = {}
        self.data_centres = {}
        self.services = {}
        self.unlisted = set()
        self.created_at = {}
        self.delay = lambda source, target, message: stream_site.LINK_SECONDS
        super().__init__(*args, **kwargs)

    def fleet_update(self):
        """Return the current update from control, with the agents' data centres."""
        event = super().fleet_update()
        records = tuple(
            stream_site.replace(
                record,
                data_centre=self.data_centres.get(record.name, "zone-a"),
                service=self.services.get(record.name, record.service),
            )
            for record in event.view.upstreams
            if record.name not in self.unlisted
        )
        view = stream_site.replace(event.view, upstreams=records)
        return stream_site.replace(event, view=view)

    def start_agent(self, name):
        """Start an agent without any state."""
        process = None
        created_at = self.created_at.get(name)
        if created_at is not None:
            unix_ms = UNIX_MS + created_at * 1000
            process = process_start.ProcessStart(created_at, unix_ms)
        self.agents[name] = stream_agent_core.StreamAgentCore(
            self.now,
            stream_site.CODEC,
            stream_site.SERVICE,
            "zone-a",
            stream_site.ANNOUNCEMENT_SECONDS,
            60.0,
            process,
        )
        self.to_core(name, self.fleet_update())

    def announce(self, name):
        """Pass one announcement of an upstream to its agent."""
        started_at = self.started_at.get(name)
        if started_at is None:
            super().announce(name)
            return
        cold_ms = max(0.0, COLD_SECONDS - (self.now - started_at)) * 1000
        status = stream_site.replace(
            self.upstreams[name].status(),
            started_ms=int(UNIX_MS + started_at * 1000),
            cold_ms=int(cold_ms),
        )
        self.to_core(name, upstream_announced.UpstreamAnnounced(status))

    def announce_regularly(self, now, name):
        """Pass announcements periodically, unless the test passes them itself."""
        if name not in self.started_at:
            super().announce_regularly(now, name)

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

        The bound holds while the machine of the owner is undisturbed: with the owner's
        agent, another agent and the entry restarted within 2 s nobody remembers what
        was tried.

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
                if self._is_disturbed(owner, first):
                    continue
                if count > MAX_MISDIRECTED and not is_reached:
                    broken.add(flow)
        return broken

    def _is_disturbed(self, owner, first):
        return any(
            first - CONTACT_SECONDS <= at <= first + WINDOW_SECONDS + MAX_DOWN_SECONDS
            for at in self.restarts.get(owner, ())
        )


def make_site(seed, upstreams=6, entries=2):
    """Return a site whose nodes have the complete list of agents."""
    site = FaultySite(seed, [0.005] * upstreams, slots=8, entries=entries)
    site.is_list_current = True
    site.update_all()
    site.run(SETTLED_SECONDS)
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
        site.restarts.setdefault(name, []).append(site.now)
        site.start_agent(name)
        site.announce(name)


def restart_entries(site):
    """Start all entries anew."""
    for name in list(site.entries):
        site.start_entry(name)


def lose_power(site, start_seconds=(0.3, 1.1), announcements=4):
    """Restart everything at once; agents hear no announcement before they are up.

    Parameters
    ----------
    start_seconds : tuple of (float, float)
        Bounds of the time that the process of an agent takes to start.
    announcements : int
        Number of announcements of each upstream.
    """
    for name in site.entries:
        site.start_entry(name)
    for name, upstream in site.upstreams.items():
        upstream.restart()
        site.down.add(name)
        site.created_at[name] = site.now
        starts_after = site.random.uniform(0.0, 0.3)
        site.started_at[name] = site.now + starts_after
        for i in range(announcements):
            seconds = starts_after + i * stream_site.ANNOUNCEMENT_SECONDS
            site.after(seconds, lambda at, name=name: site.announce(name))
        start_after = site.random.uniform(*start_seconds)
        site.after(start_after, lambda at, name=name: start_late(site, name))


def start_late(site, name):
    """Start an agent whose process was created earlier."""
    site.down.discard(name)
    site.start_agent(name)
