"""Tests of agents that can tell that their upstream has no flows of earlier agents."""

from __future__ import annotations

from limpetreel.streams.actions import send_node
from tests import fixtures
from tests.streams import faulty_site, test_ended_flows

load_tests = fixtures.load_functions(globals())

UPSTREAMS = 46
FLOWS = 300
SETTLED_SECONDS = 3.0
"""Time after a return of power by which agents are up and their list is complete."""


def lose_power_and_send(seed):
    """Return callers of flows that were lost, and the messages until all are reset."""
    site = faulty_site.make_site(seed, upstreams=UPSTREAMS, entries=4)
    callers = test_ended_flows.open_flows(site, FLOWS)
    faulty_site.lose_power(site)
    site.run(site.now + SETTLED_SECONDS)
    site.messages = 0
    began_at = site.now
    site.arrivals.clear()
    reset_at = {}

    def end(caller):
        caller.is_over = True
        reset_at[caller.flow] = site.now - began_at

    for caller in callers:
        caller.end = lambda caller=caller: end(caller)
    test_ended_flows.send_again(site, callers, 4.0)
    return site, reset_at


def test_ended_flows_cost_no_probes_after_power_is_lost_everywhere():
    """Guards against a packet to each agent for each flow that has ended.

    Agents have missed the first announcement of their upstream.
    """
    site, reset_at = lose_power_and_send(51)
    assert len(reset_at) == FLOWS
    assert max(reset_at.values()) < 0.5
    assert not site.arrivals
    assert site.messages < 4 * UPSTREAMS * 8


def test_agent_that_restarts_alone_finds_its_flows():
    """Guards against an agent that denies flows which an earlier process has placed.

    The upstream is still cold, and the agent starts at once.
    """
    site = faulty_site.make_site(52)
    site.started_at = dict.fromkeys(site.names, site.now)
    for name, upstream in site.upstreams.items():
        upstream.restart()
        site.announce(name)
    callers = test_ended_flows.open_flows(site, 30)
    site.created_at = dict.fromkeys(site.names, site.now - 0.2)
    faulty_site.restart_agents(site, site.names)
    faulty_site.restart_entries(site)
    test_ended_flows.send_again(site, callers)
    assert not any(c.request.refused for c in callers)
    assert all(c.request.answered_at is not None for c in callers)


def test_agents_do_not_repeat_flows_that_their_upstream_lacks():
    """Guards against answers that fill a small link when many flows have ended."""
    site = faulty_site.make_site(53, upstreams=UPSTREAMS, entries=1)
    callers = test_ended_flows.open_flows(site, FLOWS)
    faulty_site.lose_power(site)
    site.run(site.now + SETTLED_SECONDS)
    sizes = {"entry": 0, "agent": 0}

    def add(name, action):
        if isinstance(action, send_node.SendNode):
            sizes[name.partition("-")[0]] += len(action.data)

    site.on_action = add
    test_ended_flows.send_again(site, callers, 0.5)
    assert all(c.request.refused for c in callers)
    assert sizes["entry"] < 25 * FLOWS * UPSTREAMS
    assert sizes["agent"] < 2 * FLOWS * UPSTREAMS
