"""Random faults must not lose, repeat, revert or fork accepted commands."""

from __future__ import annotations

import os
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from limpetreel.consensus import timing
from limpetreel.control import control_core
from tests import fixtures
from tests.control import control_cluster

SEED = int(os.environ.get("LIMPETREEL_FUZZ_SEED", "20261204"))
STEPS = int(os.environ.get("LIMPETREEL_FUZZ_STEPS", "540"))
"""Rules to run with each size of cluster."""

RULES_PER_RUN = 30
NUMBERS = st.integers(0, 4)
ZONES = ("z0", "z1", "z2")
MISTAKES = (False, False, True)


class ControlMachine(stateful.RuleBasedStateMachine):
    """Faults and racing operators on a cluster of control cores."""

    size = 3

    @stateful.initialize(seed=st.integers(0, 2**32))
    def begin(self, seed):
        self.cluster = control_cluster.Cluster(self.size, seed)
        self.cluster.run(1.0)

    @stateful.invariant()
    def work(self):
        """Load and restarts, since one run may leave out any rule."""
        group = self.cluster
        for instance in group.instances.values():
            if instance.core is None and group.rng.random() < 0.6:
                instance.start()
        group.run(0.1)
        self._race()
        self._resend()
        for target in (
            group.leader(),
            group.rng.choice(list(group.instances.values())),
        ):
            if target is not None:
                group.call(target, {"type": "table"})
        group.run(0.1)
        group.record_tables()

    def _race(self):
        """Let two operators change a record from the same revision."""
        group = self.cluster
        chosen = group.rng.choice(list(group.instances.values()))
        source = chosen if chosen.core else next(iter(group.live()), None)
        if source is None:
            return
        name = group.rng.choice(ZONES)
        record = source.core.catalog.table.zone(name)
        expected = record.modified if record is not None else 0
        for kind in ("zone_in", "zone_out"):
            fields = {"force": True} if kind == "zone_out" else {}
            if record is None:
                kind, fields = "zone_create", {"region": "r"}
            # Most commands go to the leader, since operators' programs look for it.
            target = group.leader() if group.rng.random() < 0.7 else None
            target = target or group.rng.choice(list(group.instances.values()))
            group.send_command(target, kind, name, expected, **fields)

    def _resend(self):
        group = self.cluster
        recent = list(group.oracle.commands.values())[-30:]
        for body in group.rng.sample(recent, min(2, len(recent))):
            group.call(group.rng.choice(list(group.instances.values())), body)

    def _pick(self, number):
        return self.cluster.instances[f"c{number % self.size}"]

    @stateful.rule(seconds=st.sampled_from([0.1, 0.3, 1.0, 2.5]))
    def run(self, seconds):
        self.cluster.run(seconds)

    @stateful.rule(
        numbers=st.sets(NUMBERS, max_size=2),
        directions=st.sampled_from([("out", "in"), ("out",), ("in",)]),
    )
    def partition(self, numbers, directions):
        self.cluster.partition_off({self._pick(n).name for n in numbers}, directions)

    @stateful.rule(directions=st.sampled_from([("out", "in"), ("out",), ("in",)]))
    def partition_leader(self, directions):
        leader = self.cluster.leader()
        if leader is not None:
            self.cluster.partition_off({leader.name}, directions)

    @stateful.rule(
        directions=st.sampled_from([("out", "in"), ("out",), ("in",)]),
        steps=st.sampled_from([5, 15]),
    )
    def leave_leader_behind(self, directions, steps):
        """Change records while a leader is cut off, then ask it."""
        group = self.cluster
        group.end_faults()
        group.run(1.0)
        old = group.leader()
        if old is None:
            return
        group.partition_off({old.name}, directions)
        for _ in range(steps):
            group.run(0.2)
            self._race()
            group.call(old, {"type": "table"})

    @stateful.rule()
    def calm(self):
        self.cluster.end_faults()
        self.cluster.run(1.0)

    @stateful.rule(number=NUMBERS, is_mistaken=st.sampled_from(MISTAKES))
    def lose_disk_after_calm(self, number, is_mistaken):
        """Lose a disk, and the process of another instance soon after it."""
        self.calm()
        self.lose_disk(number, is_mistaken)
        self.cluster.run(0.3)
        self._pick(number + 1).crash()

    @stateful.rule(loss=st.sampled_from([0.0, 0.1, 0.3]))
    def lose_messages(self, loss):
        self.cluster.loss = loss

    @stateful.rule(number=NUMBERS)
    def crash(self, number):
        self._pick(number).crash()

    @stateful.rule(number=NUMBERS, after=st.integers(0, 12))
    def crash_between_actions(self, number, after):
        self._pick(number).crash_in = after

    @stateful.rule(number=NUMBERS, after=st.integers(0, 12))
    def crash_in_disk(self, number, after):
        self._pick(number).disk.crash_in = after

    @stateful.rule(number=NUMBERS, after=st.integers(0, 5))
    def fail_sync(self, number, after):
        self._pick(number).disk.fail_sync_in = after

    @stateful.rule(number=NUMBERS, seconds=st.sampled_from([0.3, 1.0, 3.0]))
    def freeze(self, number, seconds):
        self._pick(number).freeze(seconds)

    @stateful.rule(number=NUMBERS, seconds=st.sampled_from([0.3, 1.0, 2.5]))
    def stall_disk(self, number, seconds):
        self._pick(number).sync_delay = seconds

    @stateful.rule(number=NUMBERS, is_mistaken=st.sampled_from(MISTAKES))
    def lose_disk(self, number, is_mistaken):
        name = self._pick(number).name
        if self.cluster.can_lose_disk(name):
            self.cluster.lose_disk(name, is_mistaken)

    @stateful.rule()
    def stop_leader(self):
        """Stop in a planned way; the process ends once it has left."""
        leader = self.cluster.leader()
        if leader is None:
            return
        self.cluster.stop(leader.name)
        self.cluster.run(0.5)
        leader.crash()

    def teardown(self):
        if hasattr(self, "cluster"):
            self.cluster.check_all_recover()


class FiveMachine(ControlMachine):
    size = 5


# Small sizes make snapshots in chunks, short batches and resends after them frequent.
@mock.patch.multiple(
    timing, TRAILING_ENTRIES=4, CHUNK_BYTES=512, BATCH_BYTES=256, PIPELINE_ENTRIES=6
)
@mock.patch.object(control_core, "SNAPSHOT_ENTRIES", 8)
def _run(machine):
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
    """Guards against commands lost, repeated, reverted or answered twice."""
    _run(ControlMachine)


def test_five_instances():
    """Guards against the same where two instances may fail at once."""
    _run(FiveMachine)


load_tests = fixtures.load_functions(
    {k: v for k, v in globals().items() if not isinstance(v, type)}
)
