"""Tests that entries ask the likely owners first where that saves messages."""

from __future__ import annotations

from tests import fixtures
from tests.streams import faulty_site, test_ended_flows

load_tests = fixtures.load_functions(globals())

UPSTREAMS = 46
FLOWS = 200


def make_site(seed):
    """Return a site with a third of the agents in the data centre of the entries."""
    site = faulty_site.make_site(seed, upstreams=UPSTREAMS, entries=4)
    zones = ("zone-a", "zone-b", "zone-c")
    site.data_centres = {n: zones[i % 3] for i, n in enumerate(site.names)}
    site.update_all()
    return site


def test_agents_of_the_local_data_centre_are_asked_first():
    """Guards against a question to each agent for flows that a near one holds."""
    site = make_site(61)
    callers = test_ended_flows.open_flows(site, FLOWS)
    faulty_site.restart_entries(site)
    site.messages = 0
    test_ended_flows.send_again(site, callers)
    assert all(c.request.answered_at is not None for c in callers)
    # Each packet is carried; the questions and answers are few.
    carried = sum(1 for at, _, _ in site.arrivals if at > site.now - 1.0)
    assert site.messages - carried < 4 * UPSTREAMS * 4


def test_flows_of_other_data_centres_are_found_as_well():
    """Guards against a search that ends with the local data centre."""
    site = make_site(62)
    callers = test_ended_flows.open_flows(site, FLOWS)
    site.data_centres = dict.fromkeys(site.names, "zone-b")
    site.data_centres["agent-0"] = "zone-a"
    site.update_all()
    faulty_site.restart_entries(site)
    test_ended_flows.send_again(site, callers, 0.5)
    assert all(c.request.answered_at is not None for c in callers)
    assert not any(c.request.refused for c in callers)


def test_flows_are_found_once_the_list_is_complete_after_a_common_restart():
    """Guards against agents that are asked one after another as they become known.

    All processes have restarted while the upstreams run, so no agent is sure.
    """
    site = faulty_site.make_site(63, upstreams=UPSTREAMS, entries=4)
    callers = test_ended_flows.open_flows(site, FLOWS)
    owners = faulty_site.owners(site, callers)
    site.is_list_current = False
    site.unlisted = set(site.names)
    faulty_site.restart_entries(site)
    faulty_site.restart_agents(site, site.names)
    for i, name in enumerate(site.names):
        site.after(0.3 + 0.005 * i, lambda at, name=name: list_agent(site, name))
    test_ended_flows.send_again(site, callers, 1.0)
    test_ended_flows.listen(site, callers)
    site.is_list_current = True
    site.update_all()
    site.run(site.now + 0.2)
    assert all(c.request.answered_at is not None for c in callers)
    assert not any(c.request.refused for c in callers)
    assert not site.misdirected(owners)


def list_agent(site, name):
    """Let nodes know of an agent."""
    site.unlisted.discard(name)
    site.update_all()
