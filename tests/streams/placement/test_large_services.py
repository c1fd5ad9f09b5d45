"""Processor time of an entry whose service has thousands of upstreams."""

from __future__ import annotations

from unittest import mock

from limpetreel.streams.messages import outcome, verdict
from limpetreel.streams.placement import agent_hint, service_means
from tests import fixtures
from tests.streams.placement import entry_driver

load_tests = fixtures.load_functions(globals())

AGENTS = 4400


def _busy_entry():
    """Return an entry of many agents without a free slot, after some refusals."""
    entry = entry_driver.EntryDriver([f"side-{i}" for i in range(AGENTS)])
    entry.answers = lambda message: verdict.Verdict(
        message.offer_id, outcome.Outcome.BUSY, 200, 50, 150
    )
    _open(entry, 1.0)
    return entry


def _open(entry, now):
    """Open twenty flows in a tenth of a second."""
    for i in range(20):
        entry.open(now + i / 200)


def test_refusal_does_not_look_at_all_agents():
    """Guards against refusals that take 1.6 ms each at 4,400 upstreams.

    Each counted the busy and looked for starting ones among all agents.
    """
    entry = _busy_entry()
    looked = []
    is_busy = agent_hint.AgentHint.is_busy

    def count(hint, now):
        looked.append(hint)
        return is_busy(hint, now)

    with mock.patch.object(agent_hint.AgentHint, "is_busy", count):
        _open(entry, 1.1)
    assert entry.resets == 40
    assert len(looked) <= AGENTS + 20 * 40


def test_flow_is_held_while_an_agent_is_starting():
    """Guards against a refusal while the answer of an agent is due."""
    entry = entry_driver.EntryDriver(["side-0"])
    entry.answers = lambda message: verdict.Verdict(
        message.offer_id, outcome.Outcome.STARTING, 0, 50, 0
    )
    entry.open(1.0)
    entry.update(1.05, ["side-0", "side-1"])
    entry.update(1.05, ["side-0"])
    entry.open(1.06)
    assert entry.resets == 0
    entry.answers = lambda message: verdict.Verdict(
        message.offer_id, outcome.Outcome.ACCEPTED, 0, 50, 0
    )
    for step in range(20):
        entry.tick(1.06 + step / 50)
    assert entry.core.open_flows == 2


def test_means_of_large_services_are_computed_rarely():
    """Guards against 4 ms of work every 0.5 s at 4,400 upstreams.

    That is a twelfth of an entry of 0.12 cores. A new list does not compute them again.
    """
    updates = []
    update = service_means.ServiceMeans.update

    def count(means, now, hints):
        updates.append(now)
        update(means, now, hints)

    names = [f"side-{i}" for i in range(AGENTS)]
    with mock.patch.object(service_means.ServiceMeans, "update", count):
        entry = entry_driver.EntryDriver(names)
        entry.answers = lambda message: verdict.Verdict(
            message.offer_id, outcome.Outcome.ACCEPTED, 0, 50, 10
        )
        for i in range(40):
            entry.open(1.0 + i / 10)
            if i % 10 == 5:
                entry.update(1.0 + i / 10, names)
    assert len(updates) <= 2
