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


def test_flow_whose_caller_sends_data_is_neither_offered_again_nor_reset():
    """Guards against a reset of an open flow whose acceptance was lost."""
    for last_result in (None, outcome.Outcome.BUSY):
        entry = entry_driver.EntryDriver(["side-0", "side-1"])
        flow = entry.open(1.0)
        entry.tick(1.09)
        offers = 2
        _send(entry, 1.1, flow)
        if last_result is not None:
            _answer(entry, 1.11, entry.offers[-1], last_result)
        for step in range(70):
            entry.tick(1.12 + step / 50)
        assert len(entry.offers) == offers, last_result
        assert entry.resets == 0
        assert [x.step for x in entry.lines].count("flow.opened_unseen") == 1


def test_flow_whose_caller_sends_data_is_placed_by_its_acceptance():
    """Guards against a search for an owner whose answer was under way."""
    entry = entry_driver.EntryDriver(["side-0", "side-1"])
    flow = entry.open(1.0)
    _send(entry, 1.01, flow)
    _answer(entry, 1.02, entry.offers[-1], outcome.Outcome.ACCEPTED)
    assert entry.core.open_flows == 1
