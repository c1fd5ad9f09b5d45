"""Agents and entries connected to control instances on a simulated network."""

from __future__ import annotations

import itertools
import random

from limpetreel.cluster import control_client, list_clock, upstream_record
from limpetreel.cluster.events import (
    node_asked,
    node_connected,
    node_disconnected,
    report_arrived,
)
from limpetreel.cluster.messages import report

STEP = 0.01


class Node:
    """Agent or entry that reports to one control instance at a time.

    Its attribute `home` is the only instance that it connects to, None for any.
    """

    def __init__(self, fleet, name, wants_upstreams):
        self.fleet, self.name, self.wants_upstreams = fleet, name, wants_upstreams
        self.has_ended = False
        self.home = None
        self.is_on, self.instance = False, None

    def stop(self):
        """End the process; control sees the end of its connection."""
        if self.instance is not None:
            event = node_disconnected.NodeDisconnected(self.session_id)
            self.instance.handle(event)
        self.is_on, self.instance = False, None

    def start(self):
        """Start without memory of the time before."""
        self.is_on, self.instance, self.session_id = True, None, 0
        self.start_number, self.sequence = self.fleet.random.getrandbits(40), 0
        self.version, self.names, self.clock = 0, set(), list_clock.ListClock()

    def is_current(self):
        """Return whether the list of upstreams counts as complete."""
        return self.is_on and self.clock.is_current

    def step(self, now):
        """Connect if needed, and report."""
        core = self.instance.core if self.instance is not None else None
        is_lost = core is None or core is not self.core
        if is_lost or now - self.confirmed_at > control_client.UNCONFIRMED_SECONDS:
            self.connect(now)
        if self.instance is not None and now >= self.report_at:
            self.report_at = now + control_client.REPORT_SECONDS
            self.report()

    def connect(self, now):
        """Connect to any instance that is running, or to that of its home."""
        running = [
            i
            for i in self.fleet.group.instances.values()
            if i.core is not None and self.home in (None, i)
        ]
        self.instance = self.fleet.random.choice(running) if running else None
        if self.instance is None:
            return
        self.clock.reset()
        self.core, self.confirmed_at, self.report_at = self.instance.core, now, now
        self.session_id = next(self.fleet.session_ids)
        self.fleet.sessions[self.session_id] = self
        event = node_connected.NodeConnected(
            self.session_id, self.name, self.wants_upstreams
        )
        self.instance.handle(event)

    def report(self):
        """Report the upstream, as an agent does."""
        if self.wants_upstreams:
            self.ask()
            return
        self.sequence += 1
        record = upstream_record.UpstreamRecord(
            self.name, "h", 1, "z", "s-1", True, 2, has_ended=self.has_ended
        )
        message = report.Report(self.start_number, self.sequence, record)
        self.instance.handle(report_arrived.ReportArrived(message, is_direct=True))

    def ask(self):
        """Ask for an update that is sent after the question."""
        number = self.clock.ask(self.fleet.group.now)
        self.instance.handle(node_asked.NodeAsked(self.session_id, number))

    def apply(self, now, update):
        """Apply an update."""
        if update.lease_ms > 0:
            self.confirmed_at = now
        self.clock.record(update)
        self.names = set() if update.is_full else self.names
        self.names |= {r.name for r in update.upstreams}
        self.names -= set(update.removed)
        if update.configuration is not None:
            self.version = update.configuration.version


class NodeFleet:
    """Nodes of a site."""

    def __init__(self, group, agents, entries):
        self.group, self.random = group, random.Random(group.random.random())
        self.session_ids, self.sessions = itertools.count(1), {}
        self.agents = [Node(self, f"side-{i}", False) for i in range(agents)]
        self.entries = [Node(self, f"edge-{i}", True) for i in range(entries)]
        for node in (*self.agents, *self.entries):
            node.start()

    def run(self, seconds):
        """Advance the simulated time."""
        until = self.group.now + seconds
        while self.group.now < until:
            self.group.run(STEP)
            for action in self.group.updates:
                node = self.sessions[action.session_id]
                if node.is_on and node.session_id == action.session_id:
                    node.apply(self.group.now, action.update)
            self.group.updates.clear()
            for node in (*self.agents, *self.entries):
                if node.is_on:
                    node.step(self.group.now)

    def restart_all(self):
        """Stop all processes and start control; nodes have to be started."""
        for node in (*self.agents, *self.entries):
            node.stop()
        for instance in self.group.instances.values():
            instance.crash()
        self.group.queue.clear()
        self.group.updates.clear()
        for instance in self.group.instances.values():
            instance.start()

    def seconds_until(self, condition, limit=10.0):
        """Return the time until a condition holds."""
        began_at = self.group.now
        while not condition():
            self.run(STEP)
            assert self.group.now < began_at + limit
        return self.group.now - began_at
