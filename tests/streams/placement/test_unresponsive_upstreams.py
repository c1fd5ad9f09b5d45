"""Offers to agents whose upstream has left an opening packet unanswered."""

from __future__ import annotations

from limpetreel.streams.messages import outcome, verdict
from limpetreel.streams.placement import flow_placement
from tests import fixtures
from tests.streams.placement import entry_driver

load_tests = fixtures.load_functions(globals())

STEP = flow_placement.UNRESPONSIVE_STEP_SECONDS


def make_entry(results):
    """Return an entry whose agents answer each offer with their present result."""
    entry = entry_driver.EntryDriver(sorted(results))

    def reply(message):
        result = results[entry.offers[-1][0]]
        return verdict.Verdict(message.offer_id, result, 0, 2, 2)

    entry.answers = reply
    return entry


def names(entry):
    """Return the agents that got an offer since the last call."""
    result = [name for name, _ in entry.offers]
    entry.offers.clear()
    return result


def test_agent_whose_upstream_does_not_respond_comes_last():
    """Guards against flows that wait for a hung upstream while another has room."""
    results = dict.fromkeys(("side-0", "side-1"), outcome.Outcome.UNRESPONSIVE)
    entry = make_entry(results)
    entry.open(1.0)
    assert set(names(entry)) == set(results)
    results["side-1"] = outcome.Outcome.ACCEPTED
    entry.tick(1.0 + 4 * STEP)
    names(entry)
    entry.update(1.5, ["side-0", "side-1", "side-2"])
    results["side-2"] = outcome.Outcome.ACCEPTED
    for number in range(10):
        entry.open(1.6 + number / 100)
    assert set(names(entry)) == {"side-2"}


# With one busy agent left, entries refused all flows for a second.
def test_busy_agent_does_not_hide_those_that_did_not_respond():
    """Guards against refusals while upstreams that have recovered are idle."""
    results = dict.fromkeys(("side-0", "side-1"), outcome.Outcome.UNRESPONSIVE)
    results["side-2"] = outcome.Outcome.BUSY
    entry = make_entry(results)
    entry.open(1.0)
    assert set(names(entry)) >= {"side-0", "side-1"}
    results["side-0"] = outcome.Outcome.ACCEPTED
    resets = entry.resets
    for number in range(10):
        entry.open(1.3 + number / 100)
    assert entry.resets == resets


def test_flow_that_met_a_busy_agent_is_offered_further():
    """Guards against a refusal after the first answer that follows a stall."""
    results = dict.fromkeys(("side-0", "side-1"), outcome.Outcome.UNRESPONSIVE)
    entry = make_entry(results)
    entry.open(1.0)
    names(entry)
    results["side-0"] = results["side-1"] = outcome.Outcome.BUSY
    entry.tick(1.0 + 1.01 * STEP)
    assert set(names(entry)) == set(results)


def test_flow_is_refused_once_nobody_has_responded_for_long():
    """Guards against callers that wait for upstreams that are down."""
    results = dict.fromkeys(("side-0", "side-1"), outcome.Outcome.UNRESPONSIVE)
    entry = make_entry(results)
    entry.open(1.0)
    assert entry.resets == 0
    for number in range(1, 10):
        entry.tick(1.0 + number * STEP)
    assert entry.resets == 1
    assert len(names(entry)) <= 2 + flow_placement.HOLD_SECONDS / STEP
