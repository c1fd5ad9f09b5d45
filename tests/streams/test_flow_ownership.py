"""Tests that packets of a flow reach its upstream after changes of the site."""

from __future__ import annotations

from limpetreel.streams.events import agent_leaving, caller_packet
from tests import fixtures
from tests.streams import stream_site

load_tests = fixtures.load_functions(globals())


def open_flows(site, count=20):
    """Open flows that have not sent their request, and return the callers."""
    callers = []
    for _ in range(count):
        request = stream_site.Request(site.now)
        site.requests.append(request)
        caller = stream_site.Caller(site, request, 0)
        callers.append(caller)
        site.after(0.0, lambda at, caller=caller: caller.open())
    site.run(site.now + 0.2)
    assert all(c.is_open for c in callers)
    return callers


def send_requests(site, callers):
    """Send a request on each flow and return how many have been answered."""
    for caller in callers:
        caller.request.answered_at = None
        caller.is_over = False
        site.callers[caller.flow] = caller
        packet = stream_site.make_packet(caller.flow, stream_site.ACK, 2, 0, b"??")
        first = next(
            u.flows[caller.flow]
            for u in site.upstreams.values()
            if caller.flow in u.flows
        )
        ack = (first + 3).to_bytes(4, "big")
        site.from_caller(caller.flow, packet[:24] + ack + packet[28:])
    site.run(site.now + 1.0)
    return sum(c.request.answered_at is not None for c in callers)


def make_site(seed):
    """Return a running site of five upstreams."""
    site = stream_site.StreamSite(seed, [0.005] * 5, slots=8)
    site.run(0.1)
    return site


def test_flows_survive_the_loss_of_an_entry():
    """Guards against flows that only the lost entry could forward."""
    site = make_site(11)
    callers = open_flows(site)
    site.down.add("entry-0")
    assert send_requests(site, callers) == len(callers)


def test_flows_survive_the_restart_of_all_entries():
    """Guards against the loss of open flows when all entries restart."""
    site = make_site(12)
    callers = open_flows(site)
    for name in list(site.entries):
        site.start_entry(name)
    assert send_requests(site, callers) == len(callers)


def test_flows_survive_the_restart_of_all_agents():
    """Guards against agents that lose the flows of a running upstream."""
    site = make_site(13)
    callers = open_flows(site)
    for name in site.agents:
        site.start_agent(name)
    assert send_requests(site, callers) == len(callers)


def test_draining_upstream_keeps_its_flows_and_gets_no_new_ones():
    """Guards against a planned stop that cuts flows, or is offered more."""
    site = make_site(14)
    callers = open_flows(site)
    site.upstreams["agent-0"].draining = True
    site.announce_regularly(site.now, "agent-0")
    site.update_all()
    before = len([1 for _, name in site.opened if name == "agent-0"])
    assert send_requests(site, callers) == len(callers)
    open_flows(site)
    assert len([1 for _, name in site.opened if name == "agent-0"]) == before


def test_draining_upstream_gets_no_flow_from_entries_that_do_not_know():
    """Guards against an agent that relies on entries to exclude its upstream."""
    site = make_site(17)
    site.upstreams["agent-0"].draining = True
    site.announce("agent-0")
    before = len([1 for _, name in site.opened if name == "agent-0"])
    open_flows(site)
    assert len([1 for _, name in site.opened if name == "agent-0"]) == before


def test_leaving_agent_takes_no_flow_from_entries_that_do_not_know():
    """Guards against flows that are cut when the process ends soon after."""
    site = make_site(18)
    callers = open_flows(site)
    site.to_core("agent-0", agent_leaving.AgentLeaving())
    before = len([1 for _, name in site.opened if name == "agent-0"])
    open_flows(site)
    assert len([1 for _, name in site.opened if name == "agent-0"]) == before
    assert send_requests(site, callers) == len(callers)


def test_zone_that_is_out_gets_no_new_flow():
    """Guards against an agent that relies on entries to exclude its zone."""
    site = make_site(15)
    site.zones_out = frozenset(("zone-a",))
    for name in site.agents:
        site.to_core(name, site.fleet_update())
    before = len(site.opened)
    site.load(50, 0.5, retries=0)
    site.run(2.0)
    assert len(site.opened) == before
    assert all(r.refused for r in site.requests)


def test_packet_of_an_unknown_flow_is_not_reset():
    """Guards against a reset for a flow that is open at an unknown upstream."""
    site = make_site(16)
    caller = stream_site.Caller(site, stream_site.Request(0.0), 0)
    site.callers[caller.flow] = caller
    packet = stream_site.make_packet(caller.flow, stream_site.ACK, 5, 7, b"?")
    site.from_caller(caller.flow, packet)
    site.run(1.0)
    assert caller.request.refused == 0


def test_route_that_was_removed_takes_no_new_flow():
    """Guards against an agent that uses an outdated configuration."""
    site = make_site(17)
    older = site.cfg
    site.cfg = stream_site.replace(older, version=2, routes=())
    for name in site.agents:
        site.to_core(name, site.fleet_update())
    before = len(site.opened)
    site.load(20, 0.3, retries=0)
    site.run(1.0)
    assert len(site.opened) == before
    site.cfg = older
    for name in site.agents:
        site.to_core(name, site.fleet_update())
    site.load(20, 0.3, retries=0)
    site.run(2.0)
    assert len(site.opened) == before


def test_flow_that_two_entries_opened_at_two_upstreams_runs_its_request_once():
    """Guards against two agents that both take a flow for theirs."""
    site = make_site(19)
    for number in range(40):
        request = stream_site.Request(site.now)
        caller = stream_site.Caller(site, request, 0)
        copy = stream_site.make_packet(caller.flow, stream_site.SYN, ack=1)
        event = caller_packet.CallerPacket(copy)
        served = sum(u.served for u in site.upstreams.values())
        caller.open()
        for name in site.entries:
            site.to_core(name, event)
        site.run(site.now + 1.0)
        assert request.answered_at is not None, number
        assert sum(u.served for u in site.upstreams.values()) == served + 1, number
    assert len(site.opened) > len(site.callers)


def test_address_of_a_closed_flow_can_be_used_for_the_next_one():
    """Guards against an opening packet that is taken for a copy of an earlier one."""
    site = make_site(20)
    (caller,) = open_flows(site, 1)
    (opened,) = (u for u in site.upstreams.values() if caller.flow in u.flows)
    fin = stream_site.make_packet(caller.flow, stream_site.FIN, 3, 0)
    site.from_caller(caller.flow, fin)
    site.run(site.now + 0.1)
    opened.send(caller.flow, stream_site.FIN, opened.flows.pop(caller.flow) + 5)
    site.run(site.now + 0.1)
    before = len(site.opened)
    following = stream_site.Caller(site, stream_site.Request(site.now), 0)
    following.flow = caller.flow
    following.open()
    site.run(site.now + 0.15)
    assert len(site.opened) == before + 1
    assert following.is_open
