"""Safety of the log and of leases under random faults."""

from __future__ import annotations

import os
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from limpetreel.consensus import timing
from tests import fixtures
from tests.consensus import cluster

SEED = int(os.environ.get("LIMPETREEL_FUZZ_SEED", "20261204"))
STEPS = int(os.environ.get("LIMPETREEL_FUZZ_STEPS", "2400"))
"""Number of rules to run for each cluster size."""

RULES_PER_RUN = 40


class ClusterMachine(stateful.RuleBasedStateMachine):
    """Random faults and load on a cluster."""

    size = 3

    @stateful.initialize(seed=st.integers(0, 2**32))
    def begin(self, seed):
        self.cluster = cluster.Cluster(self.size, seed)
        self.cluster.run(1.0)

    @stateful.invariant()
    def apply_load(self):
        """Add load, snapshots and restarts, since a run may omit any rule."""
        group = self.cluster
        for instance in group.instances.values():
            if instance.core is None and group.rng.random() < 0.3:
                instance.start()
            if group.rng.random() < 0.2:
                group.take_snapshot(instance)
            group.propose(instance, group.rng.randint(1, 3))
        group.run(0.1)

    def _instance(self, number):
        return self.cluster.instances[f"c{number % self.size}"]

    @stateful.rule(seconds=st.sampled_from([0.1, 0.3, 1.0, 2.5]))
    def run(self, seconds):
        self.cluster.run(seconds)

    @stateful.rule(number=st.integers(0, 4))
    def read(self, number):
        self.cluster.read(self._instance(number))

    @stateful.rule(numbers=st.sets(st.integers(0, 4), max_size=2))
    def partition(self, numbers):
        self.cluster.partitioned = {self._instance(n).name for n in numbers}

    @stateful.rule()
    def partition_leader(self):
        leader = self.cluster.leader()
        if leader is not None:
            self.cluster.partitioned = {leader.name}

    @stateful.rule(loss=st.sampled_from([0.0, 0.1, 0.3]))
    def lose_messages(self, loss):
        self.cluster.loss = loss

    @stateful.rule(number=st.integers(0, 4))
    def crash(self, number):
        self._instance(number).crash()

    @stateful.rule(number=st.integers(0, 4), after=st.integers(0, 12))
    def crash_between_actions(self, number, after):
        self._instance(number).actions_until_crash = after

    @stateful.rule(number=st.integers(0, 4), after=st.integers(0, 12))
    def crash_in_disk(self, number, after):
        self._instance(number).disk.crash_in = after

    @stateful.rule(number=st.integers(0, 4), after=st.integers(0, 5))
    def fail_sync(self, number, after):
        self._instance(number).disk.fail_sync_in = after

    @stateful.rule(number=st.integers(0, 4))
    def lose_disk(self, number):
        name = self._instance(number).name
        if self.cluster.can_lose_disk(name):
            self.cluster.lose_disk(name)

    def teardown(self):
        if hasattr(self, "cluster"):
            self.cluster.check_all_recover()


class FiveInstanceMachine(ClusterMachine):
    size = 5


# Small limits make chunked snapshots, short batches and full pipelines frequent.
@mock.patch.multiple(
    timing, TRAILING_ENTRIES=4, CHUNK_BYTES=64, BATCH_BYTES=8, PIPELINE_ENTRIES=6
)
def _run_machine(machine):
    seeded = hypothesis.seed(SEED)(machine)
    stateful.run_state_machine_as_test(
        seeded,
        settings=hypothesis.settings(
            max_examples=max(1, STEPS // RULES_PER_RUN),
            stateful_step_count=RULES_PER_RUN,
            deadline=None,
            database=None,
            report_multiple_bugs=False,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


def test_three_instances():
    """Guards against lost, diverging or duplicate entries and overlong leases."""
    _run_machine(ClusterMachine)


def test_five_instances():
    """Guards against the same faults when two of five instances fail at once."""
    _run_machine(FiveInstanceMachine)


load_tests = fixtures.load_functions(
    {k: v for k, v in globals().items() if not isinstance(v, type)}
)
