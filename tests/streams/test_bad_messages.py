"""Damaged messages have no effect beyond a count."""

from __future__ import annotations

import random

from limpetreel.node import tick
from limpetreel.streams.events import caller_packet, node_datagram, upstream_packet
from limpetreel.streams.messages import (
    carry,
    holdings,
    locate,
    not_owned,
    offer,
    outcome,
    owned,
    probe,
    search,
    sought,
    stream_codec,
    verdict,
)
from tests import bad_input, fixtures
from tests.streams import stream_site, test_flow_ownership
from tests.streams.placement import entry_driver

load_tests = fixtures.load_functions(globals())

MESSAGES = 10_000


def make_messages(flow):
    """Return one message of each kind."""
    packet = stream_site.make_packet(flow, stream_site.ACK, 5, 7, b"request")
    opening = stream_site.make_packet(flow, stream_site.SYN, 5)
    messages = [
        carry.Carry(packet),
        offer.Offer(1, 1, True, opening),
        verdict.Verdict(1, outcome.Outcome.BUSY, 1, 2, 3),
        holdings.Holdings((flow,), (flow,), (flow,)),
        not_owned.NotOwned(packet),
        search.Search((sought.Sought(flow, 7),)),
        probe.Probe(packet),
        locate.Locate(packet),
        owned.Owned(flow),
    ]
    return [*map(stream_codec.encode, messages), packet, opening]


def test_any_message_is_read_or_dropped():
    """Guards against an unexpected error in an entry or agent."""
    site = test_flow_ownership.make_site(3)
    valid = make_messages(test_flow_ownership.open_flows(site)[0].flow)
    rng = random.Random(1)
    for number in range(MESSAGES):
        data = bad_input.damaged(rng, rng.choice(valid))
        name = rng.choice([*site.agents, *site.entries])
        core = site.agents.get(name) or site.entries[name]
        packet_type = upstream_packet.UpstreamPacket
        if name in site.entries:
            packet_type = caller_packet.CallerPacket
        core.handle(site.now, packet_type(data))
        core.handle(site.now, node_datagram.NodeDatagram("entry-0", 1, data))
        if number % 100 == 0:
            site.now += stream_site.TICK_SECONDS
            core.handle(site.now, tick.Tick())


def test_verdict_with_a_negative_figure_is_dropped():
    """Guards against negative weights, which upset the draw among all agents."""
    for figures in ((-1, 50, 0), (0, -50, 0), (0, 50, -1), (0, 50, 0, -1)):
        entry = entry_driver.EntryDriver(["side-0"])
        entry.answers = lambda message, figures=figures: verdict.Verdict(
            message.offer_id, outcome.Outcome.ACCEPTED, *figures
        )
        entry.open(1.0)
        assert entry.core.open_flows == 0, figures
        assert sum(entry.core.dropped.values()) == 1, figures
