"""Proposals of the leader must match what members did, in any order of events."""

from __future__ import annotations

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from limpetreel.catalog.commands import member_changed, member_joined
from limpetreel.control import member_tracker
from tests import fixtures
from tests.catalog import builders
from tests.control import renewals

NAMES = st.sampled_from(["m0", "m1", "m2", "m3", "m4"])


@hypothesis.seed(builders.SEED)
class TrackerMachine(stateful.RuleBasedStateMachine):
    """Five members in three zones; the oracle keeps the last renewal of each."""

    def __init__(self):
        super().__init__()
        self.leader = renewals.Leader()
        self.renewed_at = {}
        self.started = self.leader.now
        self.incarnations = collections.Counter()
        self.joins = collections.defaultdict(list)

    def _check(self, commands):
        now = self.leader.now
        names = [c.name for c in commands]
        assert len(set(names)) == len(names)
        for command in commands:
            if isinstance(command, member_joined.MemberJoined):
                assert command.incarnation == self.incarnations[command.name]
                recent = [t for t in self.joins[command.name] if t > now - 60]
                assert len(recent) < member_tracker.JOINS_PER_MINUTE
                self.joins[command.name] = [*recent, now]
            elif isinstance(command, member_changed.MemberChanged):
                key = (command.name, command.incarnation)
                unrenewed = now - max(self.renewed_at.get(key, 0), self.started)
                if command.state == "lost":
                    assert unrenewed >= member_tracker.LOST_SECONDS
                else:
                    assert unrenewed == 0

    @stateful.rule(name=NAMES, restarts=st.booleans(), drains=st.booleans())
    def renew(self, name, restarts, drains):
        if restarts or not self.incarnations[name]:
            self.incarnations[name] += 1
        incarnation = self.incarnations[name]
        self.renewed_at[name, incarnation] = self.leader.now
        fields = {"incarnation": incarnation, "zone": "abc"[int(name[1]) % 3]}
        self._check(self.leader.renew(name, draining=drains, **fields))

    @stateful.rule(name=NAMES, behind=st.integers(1, 2))
    def old_process_renews(self, name, behind):
        incarnation = self.incarnations[name] - behind
        member = self.leader.table.member(name)
        if member is not None and 0 < incarnation < member.incarnation:
            assert self.leader.renew(name, incarnation=incarnation) == []

    @stateful.rule(seconds=st.integers(1, 20))
    def wait(self, seconds):
        for _ in range(seconds * 2):
            self.leader.now += 0.5
            self._check(self.leader.tick())

    @stateful.rule(seconds=st.integers(2, 300))
    def pause(self, seconds):
        self.leader.now += seconds
        self._check(self.leader.tick())

    @stateful.rule()
    def change_leader(self):
        self.leader.start()
        self.started = self.leader.now
        self.joins.clear()

    @stateful.rule(holds_back=st.booleans())
    def lose_quorum(self, holds_back):
        self.leader.holds_proposals = holds_back

    def teardown(self):
        self.leader.holds_proposals = False
        self.leader.run(member_tracker.MASS_OUTAGE_SECONDS + 3)
        states = {m.state.value for m in self.leader.table.members()}
        assert states <= {"lost"}
        self.leader.run(member_tracker.KEEP_LOST_SECONDS + 3)
        assert self.leader.table.members() == []


TrackerMachine.TestCase.settings = hypothesis.settings(
    max_examples=max(1, builders.STEPS // 2),
    stateful_step_count=30,
    deadline=None,
    database=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)


class TestTracker(TrackerMachine.TestCase):
    """Runs the machine under an id of this module."""


load_tests = fixtures.load_functions(globals())
