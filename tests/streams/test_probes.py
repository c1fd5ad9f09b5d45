"""Tests that few packets of a flow reach upstreams that do not hold it."""

from __future__ import annotations

from limpetreel.streams import stream_entry_core
from limpetreel.streams.actions import send_node, send_upstream
from limpetreel.streams.events import caller_packet, node_datagram
from limpetreel.streams.messages import (
    carry,
    holdings,
    not_owned,
    offer,
    probe,
    search,
    sought,
    stream_codec,
)
from tests import fixtures
from tests.streams import faulty_site, stream_site, test_ended_flows

load_tests = fixtures.load_functions(globals())


def is_denial(message):
    """Return whether a message says that an upstream does not hold a flow."""
    return isinstance(message, holdings.Holdings) and bool(
        message.missing or (message.is_rest_missing and not message.unsure)
    )


def test_silent_owner_is_not_replaced_by_probes_of_an_unsure_agent():
    """Guards against packets that reach an unsure agent's upstream again and again.

    The entry has restarted. All messages of the owner are lost for 3 s, and so are the
    answers of the unsure agent that its upstream does not hold the flow.
    """
    site = faulty_site.make_site(41)
    callers = test_ended_flows.open_flows(site, 20)
    flows = {
        f: n for f, n in faulty_site.owners(site, callers).items() if n == "agent-0"
    }
    faulty_site.restart_agents(site, ["agent-1"])
    faulty_site.restart_entries(site)
    site.delay = lambda source, target, message: (
        None
        if "agent-0" in (source, target) or (source == "agent-1" and is_denial(message))
        else stream_site.LINK_SECONDS
    )
    test_ended_flows.send_again(site, callers, 3.0)
    assert flows
    assert not site.misdirected(flows)
    assert not any(c.request.refused for c in callers)


def test_late_answers_of_an_unsure_agent_cause_one_probe():
    """Guards against a probe for each copy of a question that is answered late.

    An entry with little processor time handles answers after it has asked again.
    """
    site = faulty_site.make_site(42)
    callers = test_ended_flows.open_flows(site, 20)
    flows = {
        f: n for f, n in faulty_site.owners(site, callers).items() if n == "agent-0"
    }
    faulty_site.restart_agents(site, ["agent-1"])
    faulty_site.restart_entries(site)
    site.delay = lambda source, target, message: (
        None
        if "agent-0" in (source, target)
        else 0.5
        if target.startswith("entry")
        else stream_site.LINK_SECONDS
    )
    test_ended_flows.send_again(site, callers, 3.0)
    assert flows
    assert not site.misdirected(flows)


def test_few_of_many_unsure_agents_are_probed_while_one_is_silent():
    """Guards against a probe to each unsure agent before the owner has answered."""
    site = faulty_site.make_site(43)
    callers = test_ended_flows.open_flows(site, 20)
    flows = {
        f: n for f, n in faulty_site.owners(site, callers).items() if n == "agent-0"
    }
    faulty_site.restart_agents(site, [n for n in site.agents if n != "agent-0"])
    faulty_site.restart_entries(site)
    site.delay = lambda source, target, message: (
        None if source == "agent-0" else stream_site.LINK_SECONDS
    )
    site.after(0.3, lambda at: site.update_all())
    test_ended_flows.send_again(site, callers, 6.0)
    assert flows
    assert not site.misdirected(flows)


def test_late_owner_is_awaited_before_unsure_agents_are_probed():
    """Guards against probes that the answer of an agent that is sure makes needless."""
    site = faulty_site.make_site(47)
    callers = test_ended_flows.open_flows(site, 20)
    flows = faulty_site.owners(site, callers, "agent-0")
    faulty_site.restart_agents(site, [n for n in site.agents if n != "agent-0"])
    faulty_site.restart_entries(site)
    site.delay = lambda source, target, message: 0.1 * (source == "agent-0")
    test_ended_flows.send_again(site, callers)
    assert flows
    assert all(name == flows[f] for _, name, f in site.arrivals if f in flows)


def test_probes_of_an_earlier_process_of_the_entry_count():
    """Guards against two more packets after each restart of an entry."""
    site = faulty_site.make_site(48)
    callers = test_ended_flows.open_flows(site, 20)
    flows = faulty_site.owners(site, callers, "agent-0")
    faulty_site.restart_agents(site, [n for n in site.agents if n != "agent-0"])
    site.delay = lambda source, target, message: (
        None if source == "agent-0" else stream_site.LINK_SECONDS
    )
    for _ in range(3):
        faulty_site.restart_entries(site)
        test_ended_flows.send_again(site, callers, 0.7)
    assert flows
    assert not site.misdirected(flows)


# The owner got the packet of a probe before the others, and its caller sent no more.
def test_owner_gets_the_last_copy_of_a_packet_that_was_tried():
    """Guards against a flow whose last packets reach other upstreams only.

    All agents but some have restarted and are unsure. Probes of the others are late.
    """
    late = ("agent-1", "agent-2", "agent-3")
    for answers_lost in (False, True):
        site = faulty_site.make_site(53)
        callers = test_ended_flows.open_flows(site, 20)
        flows = faulty_site.owners(site, callers, "agent-0")
        faulty_site.restart_agents(site, list(site.names))
        faulty_site.restart_entries(site)

        def delay(source, target, message, answers_lost=answers_lost):
            if isinstance(message, probe.Probe) and target in late:
                return 0.03
            if answers_lost and source in late and is_denial(message):
                return None
            return stream_site.LINK_SECONDS

        site.delay = delay
        site.arrivals.clear()
        test_ended_flows.send_again(site, callers)
        assert flows
        for flow, owner in flows.items():
            arrivals = [(at, name) for at, name, f in site.arrivals if f == flow]
            assert {name for _, name in arrivals} > {owner}
            assert arrivals[-1][1] == owner, arrivals


# Two entries tried three packets of a flow, as answers about the first were late.
def test_agents_that_have_not_answered_count_as_tried_by_another_entry():
    """Guards against a third packet at wrong upstreams when callers change entries."""
    site = faulty_site.make_site(52)
    callers = test_ended_flows.open_flows(site, 20)
    flows = faulty_site.owners(site, callers, "agent-0")
    faulty_site.restart_agents(site, [n for n in site.names if n != "agent-0"])
    faulty_site.restart_entries(site)
    site.delay = lambda source, target, message: (
        None
        if source == "agent-0"
        else 1.0
        if target == "entry-1"
        else stream_site.LINK_SECONDS
    )
    site.down.add("entry-1")
    test_ended_flows.send_again(site, callers, 0.7)
    site.down = {"entry-0"}
    test_ended_flows.send_again(site, callers, 2.0)
    assert flows
    assert not site.misdirected(flows)


# Two packets were tried early, and one more before the owner got its own 2 s later.
def test_nothing_is_tried_before_the_owner_must_be_among_the_unsure():
    """Guards against packets that can only reach upstreams without the flow."""
    site = faulty_site.make_site(53)
    callers = test_ended_flows.open_flows(site, 20)
    flows = faulty_site.owners(site, callers, "agent-0")
    faulty_site.restart_agents(site, site.names)
    site.unlisted.add("agent-0")
    site.is_list_current = False
    faulty_site.restart_entries(site)
    began_at = site.now
    test_ended_flows.send_again(site, callers, 0.4)
    assert not [a for a in site.arrivals if a[0] >= began_at]
    site.unlisted.clear()
    site.is_list_current = True
    site.update_all()
    site.run(site.now + 0.3)
    assert flows
    assert all(c.request.answered_at is not None for c in callers if c.flow in flows)


def test_owner_that_is_not_in_the_list_limits_the_probes():
    """Guards against a probe to each unsure agent while the list may be incomplete."""
    site = faulty_site.make_site(49)
    callers = test_ended_flows.open_flows(site, 20)
    flows = faulty_site.owners(site, callers, "agent-0")
    faulty_site.restart_agents(site, [n for n in site.names if n != "agent-0"])
    site.unlisted.add("agent-0")
    site.is_list_current = False
    faulty_site.restart_entries(site)
    test_ended_flows.send_again(site, callers, 4.0)
    assert flows
    assert not site.misdirected(flows)
    assert not any(c.request.refused for c in callers if c.flow in flows)


def test_flow_at_an_upstream_that_hangs_is_not_reset():
    """Guards against a reset while an unsure agent awaits its upstream's reaction."""
    site = faulty_site.make_site(50)
    callers = test_ended_flows.open_flows(site, 20)
    flows = faulty_site.owners(site, callers, "agent-0")
    faulty_site.restart_agents(site, ["agent-0"])
    faulty_site.restart_entries(site)
    site.upstreams["agent-0"].is_up = False
    test_ended_flows.send_again(site, callers, 4.0)
    assert flows
    assert not any(c.request.refused for c in callers)


def test_numbers_of_questions_differ_between_starts_of_an_entry():
    """Guards against late answers that match a question of the next process."""
    numbers = []
    site = faulty_site.make_site(51)
    flow = stream_site.Caller(site, stream_site.Request(0.0), 0).flow
    packet = stream_site.make_packet(flow, stream_site.ACK, 2, 7, b"?")
    for seed in (1, 2):
        entry = stream_entry_core.StreamEntryCore(stream_site.CODEC, "zone-a", seed)
        entry.handle(0.0, site.fleet_update())
        action = entry.handle(0.0, caller_packet.CallerPacket(packet))[0]
        numbers.append(stream_codec.decode(action.data).number)
    assert abs(numbers[0] - numbers[1]) > 1_000_000


def tell(site, name, message, source="entry-9"):
    """Pass a message to an agent; return its answers and packets to the upstream."""
    event = node_datagram.NodeDatagram(source, 1, stream_codec.encode(message))
    actions = site.agents[name].handle(site.now, event)
    answers = [
        stream_codec.decode(a.data)
        for a in actions
        if isinstance(a, send_node.SendNode)
    ]
    packets = [a.data for a in actions if isinstance(a, send_upstream.SendUpstream)]
    return answers, packets


def test_offered_flow_without_an_answer_is_not_owned():
    """Guards against an owner that has only been offered a copy of the opening.

    Another upstream has answered the first copy, and its number is acknowledged.
    """
    site = faulty_site.make_site(44)
    flow = stream_site.Caller(site, stream_site.Request(0.0), 0).flow
    packet = stream_site.make_packet(flow, stream_site.SYN)
    _, packets = tell(site, "agent-0", offer.Offer(1, 1, False, packet))
    assert packets == [packet]
    question = search.Search((sought.Sought(flow, 4711),), 5)
    answers, _ = tell(site, "agent-0", question)
    assert answers == [holdings.Holdings(number=5, is_rest_missing=True)]


def test_unsure_agent_tries_one_packet_and_then_tells_the_result():
    """Guards against a packet at the upstream for each copy of a probe or question."""
    site = faulty_site.make_site(45)
    faulty_site.restart_agents(site, ["agent-0"])
    flow = stream_site.Caller(site, stream_site.Request(0.0), 0).flow
    packet = stream_site.make_packet(flow, stream_site.ACK, 2, 7, b"?")
    question = search.Search((sought.Sought(flow, 7),), 3)
    assert tell(site, "agent-0", question)[0][0].unsure == (flow,)
    assert tell(site, "agent-0", probe.Probe(packet)) == ([], [packet])
    assert tell(site, "agent-0", probe.Probe(packet), "entry-8") == ([], [])
    answers, _ = tell(site, "agent-0", question)
    assert answers[0].tried == answers[0].pending == (flow,)
    site.execute("agent-0", send_upstream.SendUpstream(packet))
    site.run(site.now + 0.1)
    answers, packets = tell(site, "agent-0", probe.Probe(packet))
    assert answers[0].missing == (flow,)
    assert not packets
    answers, _ = tell(site, "agent-0", question)
    assert answers[0].is_rest_missing
    assert not answers[0].pending
    assert not answers[0].unsure


def test_packets_for_the_owner_follow_the_first_unless_it_is_returned():
    """Guards against more than one packet from an entry that names a wrong owner."""
    site = faulty_site.make_site(46)
    faulty_site.restart_agents(site, ["agent-0"])
    flow = stream_site.Caller(site, stream_site.Request(0.0), 0).flow
    packets = [
        stream_site.make_packet(flow, stream_site.ACK, i, 7, b"?") for i in range(3)
    ]
    sent = []
    site.on_action = lambda name, action: sent.append(action)
    for packet in packets:
        event = node_datagram.NodeDatagram(
            "entry-0", 1, stream_codec.encode(carry.Carry(packet))
        )
        site.to_core("agent-0", event)
    site.run(site.now + 0.001)
    tried = [a.data for a in sent if isinstance(a, send_upstream.SendUpstream)]
    assert tried == packets[:1]
    returned = [
        stream_codec.decode(a.data) for a in sent if isinstance(a, send_node.SendNode)
    ]
    assert [m.packet for m in returned if isinstance(m, not_owned.NotOwned)] == packets
