"""Catalogs under random commands must match a simple model of the records."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from limpetreel.catalog import catalog, status
from limpetreel.catalog.commands import (
    class_delete,
    class_set,
    command_codec,
    member_removed,
    zone_in,
    zone_out,
)
from tests import fixtures
from tests.catalog import builders

NAMES = st.sampled_from(["p", "q", "r"])
ZONES = st.sampled_from(["a", "b"])


@hypothesis.seed(builders.SEED)
class CatalogMachine(stateful.RuleBasedStateMachine):
    """Two catalogs with the same entries; one restarts from snapshots.

    The oracle keeps the revision of each record, and the first answer to each id.
    """

    def __init__(self):
        super().__init__()
        self.log = builders.new_log(zones=("a", "b"), ports=(1, 40))
        self.replica = catalog.Catalog()
        self.replayed = 0
        self.revisions = {f"zone/{z.name}": z.modified for z in self.log.table.zones()}
        self.answers = {}
        self.number = 0
        self.highest = 0

    def _next_id(self):
        self.number += 1
        return f"id{self.number}"

    def _append_and_check(self, key, command, removes=False):
        expected = self.revisions.get(key, 0)
        answer = self.log.append(command)
        if command.command_id in self.answers:
            first, first_answer = self.answers[command.command_id]
            if command == first:
                assert answer == first_answer
            else:
                assert answer.status is status.Status.REFUSED
            return
        self.answers[command.command_id] = (command, answer)
        if command.expected != expected:
            assert answer.status is status.Status.CONFLICT
            assert answer.revision == expected
        else:
            assert answer.status is not status.Status.CONFLICT
        if answer.status is status.Status.APPLIED:
            self.revisions[key] = 0 if removes else len(self.log.entries)

    @stateful.rule(name=NAMES, behind=st.integers(0, 1), zone=st.none() | ZONES)
    def create(self, name, behind, zone):
        expected = self.revisions.get(f"class/{name}", 0) * behind
        zones = (zone,) if zone else ()
        command = builders.create_class(name, self._next_id(), expected, zones)
        self._append_and_check(f"class/{name}", command)

    @stateful.rule(name=NAMES, first=st.integers(1, 3), second=st.integers(1, 3))
    def race(self, name, first, second):
        expected = self.revisions.get(f"class/{name}", 0)
        for capacity in (first, second):
            command = class_set.ClassSet(
                command_id=self._next_id(),
                expected=expected,
                name=name,
                capacity=capacity,
            )
            self._append_and_check(f"class/{name}", command)

    @stateful.rule(name=NAMES)
    def delete(self, name):
        expected = self.revisions.get(f"class/{name}", 0)
        command = class_delete.ClassDelete(
            command_id=self._next_id(), expected=expected, name=name
        )
        self._append_and_check(f"class/{name}", command, removes=True)

    @stateful.rule(zone=ZONES, back=st.booleans(), force=st.booleans())
    def move_zone(self, zone, back, force):
        fields = {
            "command_id": self._next_id(),
            "expected": self.revisions[f"zone/{zone}"],
            "name": zone,
        }
        command = (
            zone_in.ZoneIn(**fields)
            if back
            else zone_out.ZoneOut(**fields, force=force)
        )
        self._append_and_check(f"zone/{zone}", command)

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(data=st.data(), altered=st.booleans())
    def resend(self, data, altered):
        name = data.draw(st.sampled_from(sorted(self.answers)))
        command = self.answers[name][0]
        if altered:
            command = type(command)(
                **{f: getattr(command, f) for f in command.__struct_fields__}
                | {"expected": command.expected + 1}
            )
        self._append_and_check(f"class/{command.name}", command)

    @stateful.rule(name=NAMES, incarnation=st.integers(1, 4), leaves=st.booleans())
    def member(self, name, incarnation, leaves):
        command = (
            member_removed.MemberRemoved(f"m-{name}", incarnation)
            if leaves
            else builders.join(f"m-{name}", name, incarnation=incarnation)
        )
        self.log.append(command)

    @stateful.rule()
    def restart_twin(self):
        fresh = catalog.Catalog()
        assert fresh.restore(self.replica.snapshot()) is None
        self.replica = fresh

    @stateful.invariant()
    def tables_agree(self):
        for entry in self.log.entries[self.replayed :]:
            self.replayed += 1
            self.replica.apply(self.replayed, entry)
        assert self.replica.snapshot() == self.log.catalog.snapshot()
        table = self.log.table
        assert table.revision >= self.highest
        self.highest = table.revision
        assert table.revision <= self.log.catalog.applied
        live = {
            r.key: r.modified
            for r in table.records.values()
            if not r.removed and r.key[0] != "m"
        }
        assert live == {k: v for k, v in self.revisions.items() if v}
        ports = [c.port for c in table.classes()]
        assert len(set(ports)) == len(ports)


@hypothesis.seed(builders.SEED)
@hypothesis.settings(max_examples=50, deadline=None, database=None)
@hypothesis.given(st.binary(max_size=60))
def test_any_entry_is_answered(entry):
    """Guards against an entry that stops every instance."""
    log = builders.new_log()
    digest = log.table.digest
    answer = log.catalog.apply(50, entry)
    assert answer.status in status.Status
    if isinstance(command_codec.decode(entry), command_codec.Command):
        return
    assert log.table.digest == digest


CatalogMachine.TestCase.settings = hypothesis.settings(
    max_examples=builders.STEPS,
    stateful_step_count=30,
    deadline=None,
    database=None,
)


class TestCatalog(CatalogMachine.TestCase):
    """Runs the machine under an id of this module."""


load_tests = fixtures.load_functions(globals())
