"""Tests of flows whose upstream has restarted or ended.

A caller on such a flow gets no answer until its time limit unless it is told; a caller
that is reset opens a new flow at once. A flow that lives must never be reset.
"""

from __future__ import annotations

from limpetreel.configuration import weighted_service
from limpetreel.streams.actions import send_caller
from limpetreel.streams.events import agent_leaving, upstream_departed, upstream_ended
from tests import fixtures
from tests.streams import faulty_site, stream_site

load_tests = fixtures.load_functions(globals())

SETTLED_SECONDS = 0.2


def make_site(seed, upstreams=5, entries=3):
    """Return a site whose nodes have the complete list of agents."""
    site = stream_site.StreamSite(seed, [0.005] * upstreams, slots=8, entries=entries)
    site.is_list_current = True
    site.update_all()
    site.run(SETTLED_SECONDS)
    return site


def open_flows(site, count):
    """Open flows on which one request has been answered."""
    callers = []
    for _ in range(count):
        caller = stream_site.Caller(site, stream_site.Request(site.now), 0)
        site.requests.append(caller.request)
        callers.append(caller)
        site.after(0.0, lambda at, caller=caller: caller.open())
    site.run(site.now + 0.5)
    assert all(c.request.answered_at is not None for c in callers)
    for caller in callers:
        caller.first = next(
            u.flows[caller.flow]
            for u in site.upstreams.values()
            if caller.flow in u.flows
        )
    return callers


def listen(site, callers):
    """Let callers note what arrives on their flows."""
    for caller in callers:
        caller.is_over = False
        site.callers[caller.flow] = caller


def send_again(site, callers, seconds=1.0):
    """Send a request on each flow, with copies as a caller sends them."""
    listen(site, callers)
    for caller in callers:
        caller.request.answered_at = None
        caller.request.refused = 0
        packet = stream_site.make_packet(
            caller.flow, stream_site.ACK, 2, caller.first + 3, b"??"
        )
        for at in (0.0, 0.2, 0.6):
            site.after(at, lambda now, c=caller, p=packet: send(site, c, p))
    site.run(site.now + seconds)


def send(site, caller, packet):
    """Send a packet while the caller waits."""
    if not caller.is_over:
        site.from_caller(caller.flow, packet)


def test_restart_of_an_upstream_resets_its_flows_and_no_others():
    """Guards against callers that wait to their time limit for a lost flow."""
    site = make_site(21)
    callers = open_flows(site, 40)
    lost = [c for c in callers if c.flow in site.upstreams["agent-0"].flows]
    assert lost
    listen(site, callers)
    site.upstreams["agent-0"].restart()
    site.announce("agent-0")
    site.run(site.now + 0.1)
    assert {c.flow for c in callers if c.request.refused} == {c.flow for c in lost}


# An upstream that was silent for long is asked when it announces its next start.
def test_restart_after_a_silence_resets_the_flows_of_the_upstream():
    """Guards against callers that wait to their time limit for a lost flow."""
    site = make_site(33)
    callers = open_flows(site, 40)
    upstream = site.upstreams["agent-0"]
    lost = [c for c in callers if c.flow in upstream.flows]
    assert lost
    upstream.is_up = False
    site.run(site.now + 2 * stream_site.ANNOUNCEMENT_SECONDS)
    listen(site, callers)
    upstream.restart()
    upstream.is_up = True
    site.announce("agent-0")
    site.run(site.now + 0.1)
    assert {c.flow for c in callers if c.request.refused} == {c.flow for c in lost}


def test_reset_names_the_last_number_that_the_caller_acknowledged():
    """Guards against resets that callers ignore, since their number is far off."""
    site = make_site(22)
    caller = open_flows(site, 1)[0]
    name = next(n for n, u in site.upstreams.items() if caller.flow in u.flows)
    site.upstreams[name].restart()
    resets = []
    site.on_action = lambda node, action: (
        resets.append(action.data) if isinstance(action, send_caller.SendCaller) else 0
    )
    site.announce(name)
    site.run(site.now + 0.01)
    assert len(resets) == 1
    assert int.from_bytes(resets[0][20:24], "big") == caller.first + 1


def test_callers_are_reset_after_power_is_lost_everywhere():
    """Guards against the silence after a loss of power, when no node knows a flow."""
    site = make_site(23, upstreams=48, entries=4)
    callers = open_flows(site, 300)
    for upstream in site.upstreams.values():
        upstream.restart()
    for name in site.agents:
        site.start_agent(name)
        site.announce(name)
    for name in list(site.entries):
        site.start_entry(name)
    send_again(site, callers, 0.5)
    assert all(c.request.refused == 1 for c in callers)


def test_search_takes_few_messages_when_many_callers_move():
    """Guards against one message an agent for each flow that a router moves.

    Half of the callers of a data centre move to entries that have not seen their flows.
    """
    site = make_site(24, upstreams=48, entries=4)
    callers = open_flows(site, 300)
    for name in list(site.entries):
        site.start_entry(name)
    site.messages = 0
    send_again(site, callers)
    assert all(c.request.answered_at is not None for c in callers)
    assert not any(c.request.refused for c in callers)
    # 4 entries ask 48 agents in two messages each, and forward four packets a flow.
    assert site.messages < 4 * 48 * 4 + 300 * 4


def test_flow_is_not_reset_while_an_agent_is_silent():
    """Guards against a reset for a flow that a silent agent may hold."""
    site = make_site(25)
    callers = open_flows(site, 20)
    site.down.add("agent-1")
    site.upstreams["agent-0"].restart()
    site.start_agent("agent-0")
    site.announce("agent-0")
    for name in list(site.entries):
        site.start_entry(name)
    send_again(site, callers, 4.0)
    assert not any(c.request.refused for c in callers)


def test_flow_is_not_reset_while_the_list_of_agents_may_be_incomplete():
    """Guards against a reset for a flow at an agent that the entry has not heard of."""
    site = faulty_site.make_site(26, upstreams=5, entries=3)
    callers = open_flows(site, 20)
    site.is_list_current = False
    faulty_site.lose_power(site, start_seconds=(0.0, 0.0))
    site.run(site.now + 0.4)
    send_again(site, callers, 4.0)
    assert not any(c.request.refused for c in callers)


def test_callers_are_reset_once_the_list_of_agents_is_complete():
    """Guards against searches that are forgotten and repeated with each packet."""
    site = faulty_site.make_site(33, upstreams=5, entries=3)
    callers = open_flows(site, 20)
    site.is_list_current = False
    faulty_site.lose_power(site, start_seconds=(0.0, 0.0))
    site.run(site.now + 0.4)
    site.messages = 0
    send_again(site, callers, 2.5)
    assert not any(c.request.refused for c in callers)
    # Three entries ask five agents twice: for the first flow, and for the others.
    assert site.messages <= 3 * 5 * 4
    listen(site, callers)
    site.is_list_current = True
    site.update_all()
    site.run(site.now + 0.1)
    assert all(c.request.refused == 1 for c in callers)


def test_flow_that_was_opened_anew_during_a_search_is_not_reset():
    """Guards against a reset of the next flow from the address of one that ended.

    The caller gives up and opens the flow again while the list is incomplete.
    """
    site = make_site(34)
    callers = open_flows(site, 20)
    site.is_list_current = False
    for upstream in site.upstreams.values():
        upstream.restart()
    for name in site.agents:
        site.start_agent(name)
        site.announce(name)
    for name in list(site.entries):
        site.start_entry(name)
    send_again(site, callers, 0.1)
    for caller in callers:
        caller.is_over = True
        caller.next = stream_site.Caller(site, stream_site.Request(site.now), 0)
        caller.next.flow = caller.flow
        caller.next.open()
    site.run(site.now + 0.5)
    assert all(c.next.request.answered_at is not None for c in callers)
    resets = []
    site.on_action = lambda name, action: (
        resets.append(action)
        if isinstance(action, send_caller.SendCaller) and name in site.entries
        else None
    )
    site.is_list_current = True
    site.update_all()
    site.run(site.now + 0.5)
    assert not resets
    assert not any(entry.searches.get("ENDED") for entry in site.entries.values())


def test_flow_of_a_service_that_its_route_has_lost_is_not_reset():
    """Guards against a reset for a flow that an earlier configuration placed.

    The entries have restarted, and know the latest configuration only.
    """
    site = faulty_site.make_site(34)
    callers = open_flows(site, 20)
    weighted = weighted_service.WeightedService("other", 1)
    route = stream_site.replace(site.cfg.routes[0], services=(weighted,))
    site.cfg = stream_site.replace(site.cfg, version=2, routes=(route,))
    site.services = {"agent-5": "other"}
    site.update_all()
    faulty_site.restart_entries(site)
    send_again(site, callers)
    assert not any(c.request.refused for c in callers)
    assert all(c.request.answered_at is not None for c in callers)


def test_restarted_agents_do_not_deny_flows_that_their_upstreams_hold():
    """Guards against agents that answer for an upstream that they have not asked."""
    site = make_site(27)
    callers = open_flows(site, 40)
    for name in site.agents:
        site.start_agent(name)
        site.announce(name)
    for name in list(site.entries):
        site.start_entry(name)
    send_again(site, callers)
    assert not any(c.request.refused for c in callers)
    assert all(c.request.answered_at is not None for c in callers)


def test_flow_that_a_running_upstream_does_not_hold_is_reset():
    """Guards against silence when an agent restarts together with its upstream.

    The agent has missed the first announcement, so that it cannot tell from it that
    the upstream is new, and has to ask it.
    """
    site = make_site(28)
    callers = open_flows(site, 40)
    for name, upstream in site.upstreams.items():
        upstream.restart()
        upstream.status()
        site.start_agent(name)
        site.announce(name)
    for name in list(site.entries):
        site.start_entry(name)
    send_again(site, callers)
    assert all(c.request.refused for c in callers)


def test_packet_that_the_upstream_returns_resets_an_established_flow():
    """Guards against silence before the agent has heard of the restart."""
    site = make_site(29)
    callers = open_flows(site, 40)
    lost = [c for c in callers if c.flow in site.upstreams["agent-0"].flows]
    site.upstreams["agent-0"].restart()
    send_again(site, callers, 0.1)
    assert {c.flow for c in callers if c.request.refused} == {c.flow for c in lost}


def test_flows_of_an_upstream_that_signed_off_are_reset_when_its_agent_leaves():
    """Guards against callers that hold flows of an upstream that was replaced."""
    site = make_site(30)
    callers = open_flows(site, 40)
    lost = [c for c in callers if c.flow in site.upstreams["agent-0"].flows]
    listen(site, callers)
    site.to_core("agent-0", upstream_departed.UpstreamDeparted("i-agent-0-0"))
    site.run(site.now + 0.1)
    assert not any(c.request.refused for c in callers)
    site.upstreams["agent-0"].is_up = False
    site.to_core("agent-0", agent_leaving.AgentLeaving())
    site.to_core("agent-1", agent_leaving.AgentLeaving())
    agent, other = site.agents["agent-0"], site.agents["agent-1"]
    assert agent.awaits_end and not other.awaits_end
    site.run(site.now + 0.1)
    assert not any(c.request.refused for c in callers)
    for _ in range(20):
        listen(site, [c for c in callers if not c.request.refused])
        site.run(site.now + 0.1)
    assert agent.upstream.has_ended and not agent.awaits_end
    assert not other.upstream.has_ended
    assert {c.flow for c in callers if c.request.refused} == {c.flow for c in lost}


def test_upstream_whose_process_has_ended_gets_no_new_flow():
    """Guards against offers to an upstream that has crashed, for three seconds.

    A refused connection alone does not count while the upstream announces itself.
    """
    site = make_site(31)
    callers = open_flows(site, 40)
    lost = [c for c in callers if c.flow in site.upstreams["agent-0"].flows]
    listen(site, callers)
    site.upstreams["agent-0"].is_up = False
    site.to_core("agent-0", upstream_ended.UpstreamEnded("i-agent-0-0"))
    site.run(site.now + 0.1)
    assert not any(c.request.refused for c in callers)
    site.run(site.now + 1.5 * stream_site.ANNOUNCEMENT_SECONDS)
    listen(site, callers)
    site.to_core("agent-0", upstream_ended.UpstreamEnded("i-agent-0-0"))
    site.run(site.now + 0.1)
    assert {c.flow for c in callers if c.request.refused} == {c.flow for c in lost}
    before = len([1 for _, name in site.opened if name == "agent-0"])
    open_flows(site, 40)
    assert len([1 for _, name in site.opened if name == "agent-0"]) == before


def test_requests_of_flows_found_after_a_restart_release_their_slots():
    """Guards against slots that stay occupied after all processes were killed.

    The packet that shows a restarted agent its upstream's flow arrives a second time
    once the entry knows the owner. Counted as another request, it held a slot until
    the time limit, and new flows were refused meanwhile.
    """
    site = make_site(32)
    callers = open_flows(site, 40)
    for name in site.agents:
        site.start_agent(name)
        site.announce(name)
    for name in list(site.entries):
        site.start_entry(name)
    send_again(site, callers)
    assert all(c.request.answered_at is not None for c in callers)
    assert not any(agent._flows.occupied for agent in site.agents.values())
