"""Offers of new flows under the load patterns of competing callers.

The entries of the simulation share the upstreams and see only answers to their own
offers. Speeds differ by 0.6 to 1.6 as in the measured deployments.
"""

from __future__ import annotations

from limpetreel.streams.messages import outcome, verdict
from tests import fixtures
from tests.streams import stream_site
from tests.streams.placement import entry_driver, offer_log

load_tests = fixtures.load_functions(globals())


def _uneven(count, mean_s):
    """Return the work of upstreams with speeds of 0.6 to 1.6 in seconds."""
    return [mean_s / (0.6 + i / (count - 1)) for i in range(count)]


def _run(work, slots, entries, share, seconds, answer_ms):
    """Run a site at a share of its capacity; return its log and the served share."""
    cfg = stream_site.make_configuration(1, answer_ms, 2 * answer_ms)
    site = stream_site.StreamSite(1, work, slots, entries, cfg)
    log = offer_log.OfferLog(site)
    site.run(0.1)
    site.load(share * sum(slots / s for s in work), seconds)
    site.run(seconds + 2 * answer_ms / 1000 + 0.5)
    return log, site.in_time() * share


def test_overload_of_ten_upstreams_takes_few_offers():
    """Guards against offers to every agent of a service before a flow is refused.

    Twice the capacity of ten upstreams took 9.9 offers an attempt.
    """
    log, served = _run(_uneven(10, 0.06), 3, 6, 2.0, 3, 556)
    assert log.offers_per_attempt() <= 3.5
    held = log.held_ms()
    assert held[int(0.9 * len(held))] <= 10
    assert served >= 0.95


def test_overload_of_many_upstreams_takes_few_offers():
    """Guards against refusals after offers to all of 46 upstreams.

    They took 37.9 offers an attempt and 47 ms.
    """
    log, served = _run(_uneven(46, 0.2), 2, 25, 1.5, 3, 1600)
    assert log.offers_per_attempt() <= 5.0
    held = log.held_ms()
    assert held[len(held) // 2] <= 10
    assert served >= 0.95


def test_uneven_upstreams_below_capacity_are_found_with_few_offers():
    """Guards against fast upstreams that get all flows and answer that they are busy.

    At 0.9 of the capacity a placement took 2.8 offers, at most 20.
    """
    log, served = _run(_uneven(46, 0.2), 2, 25, 0.9, 3, 1600)
    assert log.offers_per_attempt() <= 2.5
    assert max(map(len, log.offers.values())) <= 9
    assert served >= 0.895
    busy = log.busy_shares()
    assert max(busy) <= 1.3 * sum(busy) / len(busy)


def test_flow_is_refused_at_once_while_no_queue_is_open():
    """Guards against offers to agents that have just refused such a flow."""
    entry = entry_driver.EntryDriver(["side-0", "side-1"])
    entry.answers = lambda message: verdict.Verdict(
        message.offer_id, outcome.Outcome.BUSY, 400, 300, 150
    )
    entry.open(1.0)
    assert [name for name, _ in entry.offers].count("side-0") <= 2
    assert entry.resets == 1
    entry.open(1.001)
    entry.open(1.002)
    before = len(entry.offers)
    entry.open(1.003)
    assert len(entry.offers) == before
    assert entry.resets == 4
    entry.open(2.0)
    assert len(entry.offers) > before


def test_flow_waits_where_it_is_answered_soonest():
    """Guards against waits at a random agent when all are busy."""
    waits = {f"side-{i}": 300 - 50 * i for i in range(3)}
    entry = entry_driver.EntryDriver(list(waits))
    entry.answers = lambda message: verdict.Verdict(
        message.offer_id,
        outcome.Outcome.QUEUED if message.may_wait else outcome.Outcome.BUSY,
        waits[entry.offers[-1][0]],
        50,
        150,
    )
    entry.open(1.0)
    name, last = entry.offers[-1]
    assert (name, last.may_wait) == ("side-2", True)
    assert len(entry.offers) == 4


def test_entry_avoids_agents_that_hold_its_unanswered_offers():
    """Guards against a burst of openings at one agent before any has answered."""
    names = [f"side-{i}" for i in range(4)]
    entry = entry_driver.EntryDriver(names)
    entry.answers = lambda message: None
    for _ in range(40):
        entry.open(1.0)
    counts = [sum(1 for n, _ in entry.offers if n == name) for name in names]
    assert counts == [10, 10, 10, 10], counts


def test_refusals_are_counted_by_reason_and_service():
    """Guards against refusals whose cause only single log lines show."""
    entry = entry_driver.EntryDriver(["side-0"])
    entry.answers = lambda message: verdict.Verdict(
        message.offer_id, outcome.Outcome.CLOSED, 0, 50, 0
    )
    entry.open(1.0)
    entry.open(1.1)
    entry.open(1.2, ("198.18.0.9", 1))
    assert entry.core.refusals == {
        ("closed", stream_site.SERVICE): 1,
        ("none_usable", stream_site.SERVICE): 1,
        ("no_route", ""): 1,
    }


def test_local_upstreams_are_preferred_until_they_are_busy():
    """Guards against traffic between data centres that are both quiet.

    Four of sixteen upstreams are local, so most random draws would miss them.
    """
    names = [f"side-{i}" for i in range(16)]
    entry = entry_driver.EntryDriver(names, zones=dict.fromkeys(names[4:], "zone-b"))
    entry.answers = lambda message: verdict.Verdict(
        message.offer_id, outcome.Outcome.ACCEPTED, 0, 50, 10
    )
    for i in range(100):
        entry.open(1.0 + i / 50)
    local = [name for name, _ in entry.offers if name in names[:4]]
    assert len(local) >= 95
    entry.answers = lambda message: _busy_at_home(message, entry, names[:4])
    before = len(entry.offers)
    for i in range(100):
        entry.open(3.0 + i / 50)
    assert entry.resets == 0
    away = [name for name, _ in entry.offers[before:] if name in names[4:]]
    assert len(away) == 100


def _busy_at_home(message, entry, local):
    """Refuse flows at local agents and accept them at the others."""
    if entry.offers[-1][0] in local:
        return verdict.Verdict(message.offer_id, outcome.Outcome.BUSY, 80, 50, 120)
    return verdict.Verdict(message.offer_id, outcome.Outcome.ACCEPTED, 0, 50, 20)
