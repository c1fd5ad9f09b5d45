"""Site with fault injection and checks of its guarantees.

The checks use only the requests and answers of callers, the packets and runs that
upstreams see, and the states that control reports.
"""

from __future__ import annotations

import functools
import random

from limpetreel.catalog import member_state
from limpetreel.control import member_tracker
from limpetreel.measure import fake_site, upstream_profile
from limpetreel.requests import outcome as outcomes
from limpetreel.wire import address
from tests.site import faulty_upstream, fuzz_caller

ONE_WAY_SECONDS = 0.0015
POLL_INTERVAL_SECONDS = 0.1
ZONE_REMOVAL_SECONDS = 3.0
MINUTE_SECONDS = 60.0
READY_SECONDS = 4.0
ANSWER_MS = 4000
"""Longer than `ZONE_REMOVAL_SECONDS`, so that requests are still queued after it."""
ACTIVE = member_state.MemberState.ACTIVE
PROFILE = upstream_profile.UpstreamProfile(
    slots=2, service_seconds=0.1, warm_up_seconds=2.0, backlog=2
)


class FuzzSite(fake_site.FakeSite):
    """Small site with a record of what its callers and upstreams have seen.

    Parameters
    ----------
    seed : int
        Seed of everything that is random.
    zone_count, class_count, agent_count : int
        Size of the site; the agents are per class.

    Attributes
    ----------
    class_of : dict of str to str
        Class of each agent.
    runs : dict of str to list of (float, str)
        Times of the runs of each request and the agents of their upstreams.
    flow_agents : dict of Address to str
        Agent that must keep the flow of a caller.
    zone_out_at : dict of str to float
        Time at which control confirmed that a zone is out.
    drained : set of str
        Agents that were requested to drain.
    """

    def __init__(self, seed, zone_count, class_count, agent_count):
        zones = tuple(f"zone-{i}" for i in range(zone_count))
        super().__init__(zones, ONE_WAY_SECONDS, seed)
        self.choices = random.Random(seed)
        self.problems = []
        self.class_of = {}
        self.runs = {}
        self.flow_agents = {}
        self.zone_out_at = {}
        self._pending_zone_outs = {}
        self.drained = set()
        self._joins = {}
        self._start(class_count, agent_count)
        self._poll_control()

    def add_agent(self, class_name, zone, earlier=""):
        """Start an upstream and its agent under a new name."""
        name = f"{class_name}-{len(self.class_of)}"
        if earlier:
            self.reuse_address(name, earlier)
        self.class_of[name] = class_name
        self.start_upstream(name, PROFILE)
        self.start_agent(class_name, name, zone)
        return name

    def start_upstream(self, name, profile):
        """Start an upstream with faults; see `FakeSite.start_upstream`."""
        self.upstreams[name] = faulty_upstream.FaultyUpstream(
            name,
            self.queue,
            profile,
            random.Random(self.rng.random()),
            functools.partial(self._from_upstream, name),
            self._on_packet,
        )

    def add_caller(self, class_id):
        """Add a caller with checks; see `FakeSite.add_caller`."""
        count = len(self.callers)
        source = address.Address(0x0A000000 + count // 2, 40000 + count % 2)
        caller = fuzz_caller.FuzzCaller(
            self.queue, source, class_id, self._to_entry, self.rng
        )
        self.callers[source] = caller
        return caller

    def resend(self, caller, datagram, delay):
        """Let the fabric deliver a copy of a datagram after a delay."""
        self.queue.after(delay, functools.partial(self._to_entry, caller, datagram))

    def crash_agent(self, name):
        """Stop an agent without a drain; its flows are lost."""
        self.agents[name].stop()
        self.release_flows(name)

    def restart_agent(self, name):
        """Restart an agent with empty state."""
        self.release_flows(name)
        self.drained.discard(name)
        self.start_agent(self.class_of[name], name, self.agents[name].zone)

    def take_zone_out(self, zone):
        """Request that a zone be taken out."""
        self._pending_zone_outs[self.change("zone_out", zone)] = zone

    def bring_zone_in(self, zone):
        """Request that a zone be brought back."""
        self.zone_out_at.pop(zone, None)
        calls = self._pending_zone_outs
        self._pending_zone_outs = {c: z for c, z in calls.items() if z != zone}
        self.change("zone_in", zone)

    def _start(self, class_count, agent_count):
        while not self.leader():
            self.queue.run_until(self.queue.now + POLL_INTERVAL_SECONDS)
        self.queue.run_until(self.queue.now + 0.5)
        for zone in self.zones:
            self.change("zone_create", zone, region="local")
        names = [f"class-{i}" for i in range(class_count)]
        for name in names:
            self.change("class_create", name, capacity=100, answer_ms=ANSWER_MS)
        self.queue.run_until(self.queue.now + 0.5)
        assert len(self.answers) == len(self.zones) + class_count
        for zone in self.zones:
            self.start_entry(f"entry-{zone}", zone)
        for name in names:
            for i in range(agent_count):
                self.add_agent(name, self.zones[i % len(self.zones)])
        self.queue.run_until(self.queue.now + READY_SECONDS)
        for class_id in range(1, class_count + 1):
            for _ in range(2):
                self.add_caller(class_id)

    def _to_entry(self, caller, datagram):
        if any(e.is_up for e in self.entries.values()):
            super()._to_entry(caller, datagram)

    def release_flows(self, name):
        """Allow the flows of an agent to move to another upstream."""
        for flow, flow_agent in list(self.flow_agents.items()):
            if flow_agent == name:
                del self.flow_agents[flow]

    def _poll_control(self):
        """Poll the answers and tables of control; release flows that may move."""
        for call, zone in list(self._pending_zone_outs.items()):
            answer = self.answers.get(call)
            if answer is not None:
                del self._pending_zone_outs[call]
                if answer[1].get("status") == "applied":
                    self.zone_out_at.setdefault(zone, answer[0])
        self._record_joins()
        for name in set(self.flow_agents.values()):
            if not self._must_keep_flows(name):
                self.release_flows(name)
        self.queue.after(POLL_INTERVAL_SECONDS, self._poll_control)

    def _record_joins(self):
        """Record when the incarnation or state of a member has changed."""
        records = self.table()
        for member in records.members() if records else ():
            state = (member.incarnation, member.state)
            times = self._joins.setdefault(member.name, [])
            if times and times[-1][1] == state:
                continue
            times.append((self.queue.now, state))

    def is_join_limited(self):
        """Return whether the limit on joins per minute keeps a node out."""
        since = self.queue.now - MINUTE_SECONDS
        for name, node in {**self.agents, **self.entries}.items():
            times = self._joins.get(name)
            if not node.is_up or not times:
                continue
            joined = (node.core.link.identity.incarnation, ACTIVE)
            recent = sum(t > since and s[1] is ACTIVE for t, s in times)
            if times[-1][1] != joined and recent >= member_tracker.JOINS_PER_MINUTE:
                return True
        return False

    def _must_keep_flows(self, name):
        """Return whether an agent runs, is not drained and may serve in its zone."""
        node = self.agents[name]
        if not node.is_up or name in self.drained or node.zone in self.zone_out_at:
            return False
        for control in self.controls:
            records = self._control(control).catalog.table
            member = records.member(name)
            if member is None or member.state is not ACTIVE:
                return False
            if not records.is_zone_serving(node.zone):
                return False
        return True

    def _on_packet(self, name, caller, key):
        now = self.queue.now
        zone = self.agents[name].zone
        if now > self.zone_out_at.get(zone, now) + ZONE_REMOVAL_SECONDS:
            delay = now - self.zone_out_at[zone]
            self._add_problem(
                f"{name} got a packet {delay:.3f} s after its zone was out"
            )
        if not key:
            return
        sender = self.callers[caller]
        if f"class-{sender.class_id - 1}" != self.class_of[name]:
            self._add_problem(f"{name} ran {key} of another class")
        self.runs.setdefault(key, []).append((now, name))
        flow_agent = self.flow_agents.get(caller)
        if flow_agent not in (None, name) and self._must_keep_flows(flow_agent):
            self._add_problem(f"flow of {key} moved from {flow_agent} to {name}")
        if self._must_keep_flows(name):
            self.flow_agents[caller] = name

    def check(self):
        """Raise an error if a guarantee was violated."""
        for caller in self.callers.values():
            for reply in caller.requests:
                runs = self.runs.get(reply.key, [])
                if not reply.idempotent and len(runs) > 1:
                    self._add_problem(f"{reply.key} ran twice: {runs}")
                if runs and outcomes.Outcome.NOT_RUN in reply.received_outcomes:
                    kind = "GET" if reply.idempotent else "POST"
                    self._add_problem(
                        f"{kind} {reply.key} got {reply.received_outcomes}"
                        f" but ran: {runs}"
                    )
                if reply.is_foreign:
                    self._add_problem(f"{reply.key} got an answer of another request")
        assert not self.problems, self.problems[:3]

    def _add_problem(self, text):
        text = f"{self.queue.now:.3f}: {text}"
        if len(self.problems) < 10:
            self.problems.append(text)

    def repair(self):
        """End all faults and restart what has stopped."""
        self.network.partitions.clear()
        self.network.loss = self.network.late_probability = 0.0
        self.isolated_controls.clear()
        for name, upstream in self.upstreams.items():
            upstream.fault = ""
            if not self.agents[name].is_up or name in self.drained:
                if self.is_replaced(name):
                    continue
                upstream.restart()
                self.restart_agent(name)
        for name in set(self.class_of.values()):
            if not any(
                n.is_up for a, n in self.agents.items() if self.class_of[a] == name
            ):
                self.add_agent(name, self.zones[0])
        for name, entry in list(self.entries.items()):
            if not entry.is_up:
                self.start_entry(name, entry.zone)
        self.queue.run_until(self.queue.now + 2.0)
        for zone in self.zones:
            self.bring_zone_in(zone)

    def is_replaced(self, name):
        """Return whether another running agent has the address of an agent."""
        agent_address = self.agents[name].address
        return any(
            agent.address == agent_address and agent.is_up
            for other_name, agent in self.agents.items()
            if other_name != name
        )
