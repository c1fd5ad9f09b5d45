"""Random faults on a whole site must not violate the guarantees to callers."""

from __future__ import annotations

import os
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from limpetreel.agent.events import drain_requested
from limpetreel.assignment import class_assignment
from limpetreel.requests import outcome as outcomes
from tests import fixtures
from tests.site import fuzz_site

SEED = int(os.environ.get("LIMPETREEL_FUZZ_SEED", "1"))
STEPS = int(os.environ.get("LIMPETREEL_FUZZ_STEPS", "25"))
EXAMPLES = int(os.environ.get("LIMPETREEL_FUZZ_EXAMPLES", "25"))
BUCKETS = 32
"""With 1024 buckets, takeovers of mostly empty buckets would dominate the run time."""
INDEX = st.integers(0, 7)
WAITS = st.sampled_from((0.0, 0.02, 0.15, 0.6, 2.5))
FAULTS = ("", "late", "twice", "foreign", "shed")
RECOVERY_SECONDS = 12.0
"""A loss is detected after 5 s; a takeover and a slow start follow."""


@hypothesis.seed(SEED)
class SiteMachine(stateful.RuleBasedStateMachine):
    """Random requests and faults; the checks are in `fuzz_site.FuzzSite`."""

    @stateful.initialize(
        seed=st.integers(0, 2**32),
        zones=st.integers(2, 3),
        classes=st.integers(1, 2),
        agents=st.integers(2, 4),
    )
    def start(self, seed, zones, classes, agents):
        self.site = fuzz_site.FuzzSite(seed, zones, classes, agents)

    def _pick(self, candidates, index):
        candidates = list(candidates)
        return candidates[index % len(candidates)]

    def _callers(self):
        return list(self.site.callers.values())

    def _advance(self, seconds):
        self.site.queue.run_until(self.site.queue.now + seconds)
        self.site.check()

    @stateful.rule(
        index=INDEX, posts=st.lists(st.booleans(), min_size=1, max_size=6), wait=WAITS
    )
    def ask(self, index, posts, wait):
        caller = self._pick(self._callers(), index)
        for post in posts:
            caller.request(not post)
        self._advance(wait)

    @stateful.rule(
        index=INDEX, back=st.integers(1, 6), delay=st.sampled_from((0.0, 0.05, 1, 7))
    )
    def resend(self, index, back, delay):
        caller = self._pick(self._callers(), index)
        for datagram in caller.datagrams[-back:]:
            self.site.resend(caller, datagram, delay)

    @stateful.rule(
        index=INDEX,
        post=st.booleans(),
        wait=WAITS,
        fault=st.sampled_from(("crash", "restart", "cold", "zone_out", "drain")),
    )
    def ask_and_hit_owner(self, index, post, wait, fault):
        """Inject a fault at the agent of a caller while a request is open."""
        site = self.site
        caller = self._pick(self._callers(), index)
        reply = caller.request(not post)
        self._advance(wait)
        runs = site.runs.get(reply.key)
        name = runs[-1][1] if runs else site.flow_agents.get(caller.address)
        if name is None:
            return
        if fault == "crash":
            site.crash_agent(name)
        elif fault == "restart":
            site.restart_agent(name)
        elif fault == "cold":
            site.upstreams[name].executor.turn_cold(site.queue.now)
        elif fault == "zone_out":
            site.take_zone_out(site.agents[name].zone)
        else:
            self._drain(name)
        site.resend(caller, caller.datagrams[-1], 0.05)
        site.resend(caller, caller.datagrams[-1], 6.0)

    @stateful.rule(seconds=st.sampled_from((0.05, 0.3, 1.0, 3.0, 6.0)))
    def advance(self, seconds):
        self._advance(seconds)

    @stateful.rule(
        loss=st.sampled_from((0.0, 0.02, 0.2)), late=st.sampled_from((0.0, 0.1, 0.5))
    )
    def disturb(self, loss, late):
        self.site.network.loss = loss
        self.site.network.late_probability = late

    @stateful.rule(index=INDEX)
    def cut_zone(self, index):
        zones = self.site.zones
        zone = self._pick(zones, index)
        pairs = {frozenset((zone, other)) for other in zones if other != zone}
        self.site.network.partitions |= pairs

    @stateful.rule(index=INDEX)
    def cut_control(self, index):
        self.site.isolated_controls = {self._pick(self.site.controls, index)}

    @stateful.rule()
    def heal(self):
        self.site.network.partitions.clear()
        self.site.isolated_controls.clear()

    @stateful.rule(index=INDEX)
    def crash_agent(self, index):
        self.site.crash_agent(self._pick(self.site.agents, index))

    @stateful.rule(index=INDEX)
    def restart_agent(self, index):
        name = self._pick(self.site.agents, index)
        if not self.site.is_replaced(name):
            self.site.restart_agent(name)

    @stateful.rule(index=INDEX)
    def restart_entry(self, index):
        name = self._pick(self.site.entries, index)
        self.site.start_entry(name, self.site.entries[name].zone)

    @stateful.rule(index=INDEX, fault=st.sampled_from((*FAULTS, "restart", "cold")))
    def disturb_upstream(self, index, fault):
        upstream = self.site.upstreams[self._pick(self.site.upstreams, index)]
        if fault == "restart":
            upstream.restart()
        elif fault == "cold":
            upstream.executor.turn_cold(self.site.queue.now)
        else:
            upstream.fault = fault

    @stateful.rule(index=INDEX)
    def drain(self, index):
        self._drain(self._pick(self.site.agents, index))

    def _drain(self, name):
        self.site.release_flows(name)
        self.site.drained.add(name)
        self.site.agents[name].handle(drain_requested.DrainRequested())

    @stateful.rule(index=INDEX)
    def zone_out(self, index):
        self.site.take_zone_out(self._pick(self.site.zones, index))

    @stateful.rule(index=INDEX)
    def zone_in(self, index):
        self.site.bring_zone_in(self._pick(self.site.zones, index))

    @stateful.rule(capacity=st.integers(10, 99))
    def change_targets(self, capacity):
        targets = {"capacity": capacity, "answer_ms": fuzz_site.ANSWER_MS, "zones": []}
        self.site.change("class_set", "class-0", **targets)

    @stateful.rule(index=INDEX)
    def reuse_address(self, index):
        """Replace an agent by one of another class at the same address."""
        site = self.site
        name = self._pick(site.agents, index)
        classes = sorted(set(site.class_of.values()))
        if len(classes) < 2 or len(site.agents) >= 10 or site.is_replaced(name):
            return
        other_class = next(c for c in classes if c != site.class_of[name])
        zone = site.agents[name].zone
        site.crash_agent(name)
        site.add_agent(other_class, zone, name)

    def teardown(self):
        """Check that new requests are answered once the faults have ended."""
        if not hasattr(self, "site"):
            return
        site = self.site
        site.repair()
        self._advance(RECOVERY_SECONDS)
        if site.is_join_limited():
            # Control admits a member at most three times a minute.
            self._advance(fuzz_site.MINUTE_SECONDS)
        for caller in self._callers():
            self._expect_answer(caller, idempotent=True)
            self._expect_answer(caller, idempotent=False)

    def _expect_answer(self, caller, idempotent):
        """Send requests until one is answered.

        A cold upstream may refuse the first ones. A POST may also end as unknown, if
        it cannot be decided whether an earlier owner has run it.
        """
        accepted = {outcomes.Outcome.ANSWERED}
        if not idempotent:
            accepted.add(outcomes.Outcome.UNKNOWN)
        for _ in range(4):
            reply = caller.request(idempotent)
            self._advance(2.0)
            if accepted & set(reply.received_outcomes):
                return
        raise AssertionError((reply.key, reply.received_outcomes))


@mock.patch.object(class_assignment, "BUCKETS_PER_CLASS", BUCKETS)
def test_guarantees_hold_under_random_faults():
    """Guards against violations that only several faults together bring about."""
    stateful.run_state_machine_as_test(
        SiteMachine,
        settings=hypothesis.settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            deadline=None,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
            print_blob=False,
            # Shrinking replays whole sites and takes minutes.
            phases=(hypothesis.Phase.generate,),
        ),
    )


load_tests = fixtures.load_functions(globals())
