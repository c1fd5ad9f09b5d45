"""Tests that a refusal never resets a flow that has opened.

Under load an upstream, an agent or a message is late. The caller may complete the
handshake with the late one while its entry finds no other agent with a free slot.
"""

from __future__ import annotations

from limpetreel.node import tick
from limpetreel.streams.actions import send_caller, send_node
from limpetreel.streams.events import caller_packet, upstream_announced, upstream_packet
from limpetreel.streams.events import node_datagram as datagrams
from limpetreel.streams.messages import offer, outcome, stream_codec, verdict
from tests import fixtures
from tests.streams import stream_site
from tests.streams.placement import entry_driver

load_tests = fixtures.load_functions(globals())

OFFER_LIMIT_SECONDS = 0.1
CALLER_SECONDS = 1.4
"""Time after its first packet at which a caller ends the attempt."""


def answer(message, result):
    """Return the answer of an agent to an offer."""
    return verdict.Verdict(message.offer_id, result, 0, 2, 2)


def overloaded_entry():
    """Return an entry with one silent and one busy agent, which has offered a flow."""
    entry = entry_driver.EntryDriver(["side-silent", "side-busy"])
    offers = {}

    def reply(message):
        name = entry.offers[-1][0]
        offers[name] = message
        if name == "side-busy":
            return answer(message, outcome.Outcome.BUSY)
        return None

    entry.answers = reply
    flow = entry.open(1.0)
    for i in range(1, 8):
        entry.tick(1.0 + i * OFFER_LIMIT_SECONDS / 2)
    assert set(offers) == {"side-silent", "side-busy"}
    return entry, flow, offers["side-silent"]


# Entries reset flows that an agent had accepted, whose answer was late.
def test_flow_that_an_agent_may_have_accepted_is_not_reset():
    """Guards against a reset of a flow that the caller has opened meanwhile."""
    entry, _, _ = overloaded_entry()
    for i in range(30):
        entry.tick(1.5 + 0.05 * i)
    assert entry.resets == 0
    assert not len(entry.core._placement)
    assert not entry.core._placement._by_flow


def test_flow_is_refused_once_the_last_agent_has_denied_it():
    """Guards against callers that wait although it is known that nobody takes them."""
    entry, _, silent = overloaded_entry()
    assert entry.resets == 0
    entry.answer(1.6, "side-silent", answer(silent, outcome.Outcome.BUSY))
    assert entry.resets == 1


def test_late_acceptance_places_a_flow_that_nobody_else_takes():
    """Guards against a search for the owner of a flow whose agent has answered."""
    entry, flow, silent = overloaded_entry()
    entry.answer(1.6, "side-silent", answer(silent, outcome.Outcome.ACCEPTED))
    assert entry.resets == 0
    assert entry.core._owners.get(flow).address[0] == "side-silent"


def test_repeated_opening_is_offered_again_while_an_agent_is_silent():
    """Guards against callers that wait for a silent agent while another has room."""
    entry, flow, _ = overloaded_entry()
    entry.answers = lambda message: answer(message, outcome.Outcome.ACCEPTED)
    packet = stream_site.make_packet(flow, stream_site.SYN, ack=1)
    entry.handle(1.6, caller_packet.CallerPacket(packet))
    assert entry.core._owners.get(flow) is not None
    assert entry.resets == 0


# Entries refused copies of openings that another entry had placed.
def test_copy_of_an_opening_is_not_answered_by_a_reset():
    """Guards against a reset of a flow that opened through another entry."""
    entry = entry_driver.EntryDriver(["side-busy"])
    entry.answers = lambda message: answer(message, outcome.Outcome.BUSY)
    flow = entry.open(1.0)
    assert entry.resets == 1
    packet = stream_site.make_packet(flow, stream_site.SYN, ack=1)
    entry.handle(1.2, caller_packet.CallerPacket(packet))
    entry.tick(1.2 + CALLER_SECONDS)
    assert entry.resets == 1
    routeless = entry_driver.stream_key.pack("100.64.9.9", 5)
    routeless += entry_driver.stream_key.pack("198.18.9.9", 99)
    for copy, resets in ((1, 1), (0, 2)):
        packet = stream_site.make_packet(routeless, stream_site.SYN, ack=copy)
        entry.handle(3.0, caller_packet.CallerPacket(packet))
        assert entry.resets == resets


# Agents forwarded answers to openings that they had reported as unanswered.
def test_late_answer_to_an_opening_that_was_given_up_does_not_open_the_flow():
    """Guards against a flow that opens after its entry was told that it does not."""
    site = stream_site.StreamSite(1, [0.01], entries=1)
    agent = site.agents["agent-0"]
    status = site.upstreams["agent-0"].status()
    agent.handle(1.0, upstream_announced.UpstreamAnnounced(status))
    caller = stream_site.Caller(site, stream_site.Request(0.0), 0)
    opening = stream_site.make_packet(caller.flow, stream_site.SYN)
    reply = stream_site.make_packet(
        caller.flow, stream_site.SYN_ACK, 7, 1, from_caller=False
    )
    message = stream_codec.encode(offer.Offer(1, 1, False, opening))
    agent.handle(1.0, datagrams.NodeDatagram("entry-0", 1, message))
    actions = agent.handle(1.1, tick.Tick())
    sent = [a.data for a in actions if isinstance(a, send_node.SendNode)]
    outcomes = [stream_codec.decode(data).outcome for data in sent]
    assert outcomes == [outcome.Outcome.UNRESPONSIVE]
    actions = agent.handle(1.2, upstream_packet.UpstreamPacket(reply))
    assert not [a for a in actions if isinstance(a, send_caller.SendCaller)]
    # The late answer shows that the upstream responds, and a copy of the opening packet
    # is a new offer, whose answer counts.
    agent.handle(1.25, datagrams.NodeDatagram("entry-0", 1, message))
    actions = agent.handle(1.26, upstream_packet.UpstreamPacket(reply))
    assert [a for a in actions if isinstance(a, send_caller.SendCaller)]
