"""Nodes must reach control's table over a network that loses and reorders."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from limpetreel.catalog.commands import member_removed
from tests import fixtures
from tests.catalog import builders
from tests.control import net

NODES = st.sampled_from(["entry", "agent", "other"])


@hypothesis.seed(builders.SEED)
class SyncMachine(stateful.RuleBasedStateMachine):
    """Two control instances, one behind the other at times, and three nodes.

    The oracle keeps the digest of each scope at each revision, computed from a
    newly built table.
    """

    def __init__(self):
        super().__init__()
        self.net = net.Net()
        self.expected = {(0, scope): 0 for scope in ("", "p", "q")}
        self.number = 0
        self.net.log.append(builders.join("entry", "", "a", 1, 1, 7561))
        self._record_digests()
        self.scopes = {"entry": "", "agent": "p", "other": "q"}
        for name, scope in self.scopes.items():
            self.net.add(name, scope, zone="abc"[len(self.net.nodes)])
        for number in range(2):
            self.net.follow(number)

    def _record_digests(self):
        records = self.net.log.table
        for scope in ("", "p", "q"):
            value = net.rebuilt_digest(records, scope)
            self.expected[records.revision, scope] = value
            assert value == records.scope_digest(scope)

    @stateful.rule(
        count=st.sampled_from([1, 2, 5, 120]),
        scope=st.sampled_from(["p", "q", "z", ""]),
        leaves=st.booleans(),
    )
    def change(self, count, scope, leaves):
        for _ in range(count):
            self.number += 1
            name = f"{scope}-member-{self.number % 150}"
            old = self.net.log.table.member(name)
            if leaves and old is not None:
                command = member_removed.MemberRemoved(name, old.incarnation)
            else:
                command = builders.join(name, scope, incarnation=self.number)
            self.net.log.append(command)
        self._record_digests()
        self.net.follow(0)

    @stateful.rule(scope=st.sampled_from(["p", "q"]))
    def move_between_classes(self, scope):
        self.number += 1
        self.net.log.append(builders.join("mover", scope, incarnation=self.number))
        self._record_digests()
        self.net.follow(0)

    @stateful.rule(count=st.integers(1, 60))
    def other_instance_follows(self, count):
        before = self.net.catalogs[1].table.revision
        self.net.follow(1, count)
        records = self.net.catalogs[1].table
        if records.revision != before:
            for scope in ("", "p", "q"):
                value = net.rebuilt_digest(records, scope)
                self.expected[records.revision, scope] = value

    @stateful.rule(steps=st.integers(1, 8))
    def tick(self, steps):
        for _ in range(steps):
            self.net.tick()
            self.net.queue = self.net.queue[-400:]

    @stateful.rule(steps=st.integers(1, 30))
    def run_without_loss(self, steps):
        self.net.run(steps / 10)

    @stateful.precondition(lambda self: self.net.queue)
    @stateful.rule(data=st.data(), count=st.integers(1, 20), keep=st.booleans())
    def deliver(self, data, count, keep):
        for _ in range(min(count, len(self.net.queue))):
            last = len(self.net.queue) - 1
            self.net.deliver(data.draw(st.integers(0, last)), keep)

    @stateful.precondition(lambda self: self.net.queue)
    @stateful.rule(every=st.integers(2, 4))
    def lose(self, every):
        del self.net.queue[::every]

    @stateful.rule(number=st.sampled_from([None, 0, 1]))
    def silence(self, number):
        self.net.unresponsive = set() if number is None else {number}

    @stateful.rule(name=NODES)
    def restart(self, name):
        old = self.net.nodes[name]
        self.net.add(name, self.scopes[name], old._identity.zone)

    @stateful.invariant()
    def tables_are_those_of_control(self):
        for name, node in self.net.nodes.items():
            revision, scope = node.table.revision, self.scopes[name]
            assert node.table.digest == self.expected[revision, scope], name

    def teardown(self):
        self.net.unresponsive = set()
        self.net.follow(0)
        self.net.follow(1)
        self.net.run(9)
        records = self.net.log.table
        for name, node in self.net.nodes.items():
            assert node.table.revision == records.revision, name
            assert node.table.digest == records.scope_digest(self.scopes[name])
            live = [r for r in node.table.changed_after(-1) if not r.removed]
            expected = records.changed_after(-1, self.scopes[name])
            assert live == [r for r in expected if not r.removed]
            assert node.right.lease_lengths


SyncMachine.TestCase.settings = hypothesis.settings(
    max_examples=max(1, builders.STEPS // 2),
    stateful_step_count=25,
    deadline=None,
    database=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)


class TestSync(SyncMachine.TestCase):
    """Runs the machine under an id of this module."""


load_tests = fixtures.load_functions(globals())
