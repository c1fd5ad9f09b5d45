"""All loads at once over a network that loses packets."""

from __future__ import annotations

import collections
import random

from tests import fixtures
from tests.streams.serving import load_site

load_tests = fixtures.load_functions(globals())

LOSS = 0.02


def lose_packets(site, seed):
    """Lose packets of callers at random."""
    source, deliver = random.Random(seed), site.from_caller

    def from_caller(flow, data):
        if source.random() >= LOSS:
            deliver(flow, data)

    site.from_caller = from_caller


def test_mixed_load_survives_loss_and_a_restart_of_all_agents():
    """Guards against lost packets that leave slots, bytes or flows occupied for ever.

    All callers are answered, what may not be repeated runs once, and nothing is left.
    Without admission of requests 0.65 to 0.83 of the lookups were in time.
    """
    site = load_site.make_site(1, (0.7, 0.8, 1.0, 1.2, 1.5, 1.0), 3)
    lose_packets(site, 1)
    site.run(0.1)
    feeds = load_site.long_flows(site, load_site.FEEDS, 40, 0.1, 8)
    feeds += load_site.long_flows(site, load_site.FEEDS, 100, 0.6, 8)
    lookups = load_site.single_requests(site, load_site.LOOKUPS, 14, 8)
    uploads = load_site.single_requests(site, load_site.UPLOADS, 20, 8, 34, (0.15, 0.8))
    site.run(4)
    for name in site.agents:
        site.start_agent(name)
        site.announce(name)
    site.run(30)
    assert load_site.in_time(feeds) >= 0.97
    assert load_site.in_time(lookups) >= 0.97
    assert load_site.in_time(uploads) >= 0.9
    ran = collections.Counter(f for u in site.upstreams.values() for _, f in u.runs)
    once = {f: n for f, n in ran.items() if f[-2:] != load_site.FEEDS.port.to_bytes(2)}
    assert set(once.values()) == {1}
    for agent in site.agents.values():
        assert not len(agent._queue) and not agent._queue._bytes
        assert not agent._flows.occupied and not agent.receiving_flows
