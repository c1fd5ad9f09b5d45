"""Answers to offers that arrive after the entry has offered the flow elsewhere."""

from __future__ import annotations

from limpetreel.streams.events import caller_packet
from limpetreel.streams.messages import outcome, verdict
from tests import fixtures
from tests.streams import stream_site
from tests.streams.placement import entry_driver

load_tests = fixtures.load_functions(globals())


def _answer(entry, now, offered, result):
    """Answer an offer, a pair of the agent's name and the message."""
    name, message = offered
    entry.answer(now, name, verdict.Verdict(message.offer_id, result, 0, 50, 10))


def _send(entry, now, flow):
    """Pass a packet with data of a caller whose flow is open."""
    packet = stream_site.make_packet(flow, stream_site.ACK, 1, 1, b"x")
    entry.handle(now, caller_packet.CallerPacket(packet))


def test_late_acceptance_places_the_flow():
    """Guards against offers and a reset of a flow that an agent has opened.

    Its answer took longer than the 80 ms after which the flow is offered elsewhere.
    """
    entry = entry_driver.EntryDriver(["side-0", "side-1"])
    flow = entry.open(1.0)
    entry.tick(1.09)
    first, second = entry.offers
    _answer(entry, 1.095, first, outcome.Outcome.ACCEPTED)
    assert entry.core.open_flows == 1
    _answer(entry, 1.1, second, outcome.Outcome.BUSY)
    assert len(entry.offers) == 2
    assert entry.resets == 0
    assert not entry.core.needs_tick_soon
    _send(entry, 1.11, flow)
    assert not entry.core.needs_tick_soon


def test_late_refusal_does_not_end_the_present_offer():
    """Guards against answers that are taken for those to a later offer."""
    entry = entry_driver.EntryDriver(["side-0", "side-1"])
    entry.open(1.0)
    entry.tick(1.09)
    first, second = entry.offers
    _answer(entry, 1.095, first, outcome.Outcome.BUSY)
    assert len(entry.offers) == 2
    _answer(entry, 1.1, second, outcome.Outcome.ACCEPTED)
    assert entry.core.open_flows == 1


def test_acceptance_after_the_placement_does_not_move_the_flow():
    """Guards against a second owner of a flow that is placed."""
    entry = entry_driver.EntryDriver(["side-0", "side-1"])
    flow = entry.open(1.0)
    entry.tick(1.09)
    first, second = entry.offers
    _answer(entry, 1.1, second, outcome.Outcome.ACCEPTED)
    _answer(entry, 1.11, first, outcome.Outcome.ACCEPTED)
    entry.open_again(1.2, flow)
    assert entry.offers[-1][0] == second[0]
