"""Tests of the load that verdicts report."""

from __future__ import annotations

import msgspec

from limpetreel.streams import flow_phase, owned_flow
from limpetreel.streams.messages import outcome, stream_codec, verdict
from limpetreel.streams.serving import capacity, slot_occupancy
from tests import fixtures
from tests.streams import stream_site
from tests.streams.serving import load_site

load_tests = fixtures.load_functions(globals())


def test_verdicts_report_flows_utilisation_and_length_of_flows():
    """Guards against long flows that are placed as if each carried one request.

    Thirty long flows take about two thirds of the slot time of one upstream.
    """
    site = load_site.make_site(1, [1.0], 3)
    site.run(0.1)
    load_site.long_flows(site, load_site.FEEDS, 30, 0.8, 12)
    load_site.single_requests(site, load_site.LOOKUPS, 2, 12)
    site.run(12)
    late = [m for at, _, m in site.verdicts if at > 6]
    assert late
    assert all(30 <= m.flows <= 50 for m in late)
    assert 45 <= sum(m.utilisation for m in late) / len(late) <= 85
    assert not any(m.is_long for m in late)  # all are of lookups
    load_site.long_flows(site, load_site.FEEDS, 3, 0.1, 0.2)
    site.run(12.5)
    opened = [m for at, _, m in site.verdicts if at > 12]
    assert len(opened) >= 3
    assert all(m.is_long for m in opened)


def test_verdict_of_an_earlier_version_is_read():
    """Guards against verdicts that are dropped during a rolling upgrade."""
    old = msgspec.msgpack.encode([2, 7, 0, 1, 50, 80])
    read = stream_codec.decode(old)
    assert read == verdict.Verdict(7, outcome.Outcome.ACCEPTED, 1, 50, 80)
    assert (read.flows, read.utilisation, read.is_long) == (0, 0, False)


def test_utilisation_is_the_mean_over_time():
    """Guards against a value that counts events rather than time."""
    slots = slot_occupancy.SlotOccupancy(capacity.Capacity())
    key = stream_site.stream_key.pack("100.64.1.1", 2000)
    flow = owned_flow.OwnedFlow(key, 0.0, flow_phase.FlowPhase.WORKING)
    for step in range(400):
        slots.begin(step * 0.05, flow)
        slots.end(step * 0.05 + 0.0125, flow)
    assert abs(slots.utilisation(20.0) - 25) <= 2
    assert slots.utilisation(60.0) == 0
