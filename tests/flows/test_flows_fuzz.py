"""Random faults must not run a request twice or move the flow of a live owner."""

from __future__ import annotations

import os
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from limpetreel.requests import outcome
from tests import fixtures
from tests.flows import harness

SEED = int(os.environ.get("LIMPETREEL_FUZZ_SEED", "1"))
STEPS = int(os.environ.get("LIMPETREEL_FUZZ_STEPS", "40"))
EXAMPLES = 60
NODES = st.integers(1, 4)
ENTRIES = st.integers(0, 1)


@hypothesis.seed(SEED)
class FlowsMachine(stateful.RuleBasedStateMachine):
    """Random requests and faults; the oracle is in `harness.Cluster`."""

    @stateful.initialize(
        seed=st.integers(0, 2**32),
        loss=st.sampled_from((0.0, 0.05, 0.3)),
        regions=st.sampled_from(("11", "111", "1122", "1111")),
        first_start=st.booleans(),
    )
    def start(self, seed, loss, regions, first_start):
        names = [f"r{r}" for r in regions]
        self.cluster = harness.Cluster(random.Random(seed), names, first_start)
        self.cluster.loss = loss
        self.cluster.advance(2)

    def _node(self, node):
        return min(node, len(self.cluster.regions))

    @stateful.rule(
        flow=st.sampled_from(harness.FLOWS), idempotent=st.booleans(), entry=ENTRIES
    )
    def ask(self, flow, idempotent, entry):
        self.cluster.send_new_request(flow, idempotent, entry)

    @stateful.rule(back=st.integers(1, 4), entry=ENTRIES)
    def resend(self, back, entry):
        for req in self.cluster.requests[-back:]:
            self.cluster.send(req, entry)

    @stateful.rule(seconds=st.sampled_from((0.02, 0.1, 0.3, 1.0, 6.5)))
    def advance(self, seconds):
        self.cluster.advance(seconds)

    @stateful.rule(node=NODES)
    def crash(self, node):
        self.cluster.crash(self._node(node))

    @stateful.rule(node=NODES)
    def restart(self, node):
        self.cluster.restart(self._node(node))

    @stateful.rule(node=NODES)
    def drain(self, node):
        self.cluster.drain(self._node(node))

    @stateful.rule(
        flow=st.sampled_from(harness.FLOWS[:2]),
        hit=st.lists(st.sampled_from(("owner", "primary", "backup")), max_size=3),
        fault=st.sampled_from(("crash", "restart", "drain")),
        wait=st.sampled_from((0.04, 1.0, 3.0)),
    )
    def ask_and_lose(self, flow, hit, fault, wait):
        """Fail agents that have a record of a request, and send the request again."""
        cluster = self.cluster
        req = cluster.send_new_request(flow, idempotent=False)
        cluster.advance(wait)
        ids = cluster.history[-1].candidates[flow.bucket()]
        nodes = {ids[0]} if "primary" in hit else set()
        nodes |= {ids[1]} if "backup" in hit else set()
        if "owner" in hit:
            nodes |= {i for i, a in cluster.agents.items() if a.router.owns(flow)}
        for node in sorted(nodes - {0}):
            getattr(cluster, fault)(node)
        for seconds in (0.02, 2.0, 5.0):
            cluster.advance(seconds)
            cluster.send(req)
        cluster.advance(0.5)

    @stateful.rule(node=NODES, accepts=st.booleans())
    def load(self, node, accepts):
        agent = self.cluster.agents.get(self._node(node))
        if agent:
            agent.accepts = accepts

    @stateful.rule(node=NODES)
    def isolate(self, node):
        self.cluster.cut([self._node(node)])

    @stateful.rule()
    def cut_region(self):
        regions = self.cluster.regions
        cut = [i + 1 for i, r in enumerate(regions) if r == "r2"]
        self.cluster.cut([*cut, -1])

    @stateful.rule()
    def end_partition(self):
        self.cluster.cut([])

    @stateful.rule()
    def wait_until_claims_complete(self):
        self.cluster.advance(260)

    def teardown(self):
        """Check that the class serves again once the faults have ended."""
        if not hasattr(self, "cluster"):
            return
        self.cluster.repair()
        reqs = [
            self.cluster.send_new_request(flow, idempotent)
            for flow in harness.FLOWS
            for idempotent in (True, False)
        ]
        self.cluster.advance(1)
        for req in reqs:
            results = [o for o, _ in req.reported]
            expected = [outcome.Outcome.ANSWERED]
            if not req.idempotent:
                expected.append(outcome.Outcome.UNKNOWN)
            assert len(results) == 1 and results[0] in expected, (req.number, results)


def test_random_faults_keep_all_guarantees():
    """Guards against errors that need several failures in a particular order."""
    stateful.run_state_machine_as_test(
        FlowsMachine,
        settings=hypothesis.settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            deadline=None,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


def test_cluster_without_faults_answers_everything():
    """Guards against a harness that serves no requests, so that no check can fail."""
    cluster = harness.Cluster(random.Random(SEED), ["r1"] * 3)
    cluster.advance(2)
    reqs = [
        cluster.send_new_request(f, i % 2 == 0) for i, f in enumerate(harness.FLOWS * 2)
    ]
    cluster.advance(2)
    for req in reqs:
        assert [o for o, _ in req.reported] == [outcome.Outcome.ANSWERED]


load_tests = fixtures.load_functions(globals())
