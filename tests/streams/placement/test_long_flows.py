"""Placement of flows that carry several requests with pauses between them."""

from __future__ import annotations

from limpetreel.streams.messages import outcome, verdict
from tests import fixtures
from tests.streams import stream_site
from tests.streams.placement import entry_driver, long_flow_site

load_tests = fixtures.load_functions(globals())


def test_uneven_upstreams_get_long_flows_by_their_speed():
    """Guards against upstreams that are busy while others idle on a quiet day.

    A flow in a pause occupies no slot, so the wait at its opening says little about the
    requests to come. The busiest of 20 upstreams had 1.45 to 1.47 of the mean load.
    """
    work = [0.03 / (0.6 + i / 19) for i in range(20)]
    cfg = stream_site.make_configuration(1, 394, 1968)
    site = long_flow_site.LongFlowSite(1, work, 1, 8, cfg)
    site.run(0.1)
    site.open_flows(600, 2.0, 8, 2.0)
    site.run(8)
    before = site.served()
    site.run(18)
    busy = [
        (site.upstreams[n].served - before[n]) * site.upstreams[n].work_s
        for n in site.names
    ]
    assert max(busy) <= 1.25 * sum(busy) / len(busy)


def _holding(entry, flows, utilisations, is_long):
    """Let agents accept all flows, and report what they hold."""

    def answer(message):
        name = entry.offers[-1][0]
        flows[name] += 1
        return verdict.Verdict(
            message.offer_id,
            outcome.Outcome.ACCEPTED,
            0,
            50,
            0,
            flows[name],
            utilisations.get(name, 0),
            is_long,
        )

    entry.answers = answer


def test_flows_are_spread_by_number_while_nothing_else_is_known():
    """Guards against random numbers of flows when thousands open within two seconds."""
    flows = {"side-0": 30, "side-1": 10, "side-2": 0, "side-3": 20}
    entry = entry_driver.EntryDriver(list(flows))
    _holding(entry, flows, {}, is_long=False)
    for i in range(140):
        entry.open(1.0 + i / 100)
    assert max(flows.values()) - min(flows.values()) <= 4, flows


def test_long_flows_go_to_upstreams_with_low_utilisation():
    """Guards against hints about long flows that are forgotten after 0.25 s."""
    flows = {"side-0": 10, "side-1": 10}
    entry = entry_driver.EntryDriver(list(flows))
    _holding(entry, flows, {"side-0": 85, "side-1": 20}, is_long=True)
    for i in range(4):
        entry.open(1.0 + i / 100)
    flows |= {"side-0": 12, "side-1": 12}
    before = dict(flows)
    for i in range(3):
        entry.open(4.0 + i / 100)
    assert flows["side-1"] - before["side-1"] == 3


def test_agents_without_reports_of_flows_get_flows_by_wait():
    """Guards against a preference for agents of an earlier version."""
    entry = entry_driver.EntryDriver(["side-0", "side-1", "side-2", "side-3"])
    entry.answers = lambda message: verdict.Verdict(
        message.offer_id, outcome.Outcome.ACCEPTED, 0, 50, 50
    )
    for i in range(400):
        entry.open(1.0 + i)
    names = [name for name, _ in entry.offers]
    assert all(50 <= names.count(name) <= 150 for name in set(names))
