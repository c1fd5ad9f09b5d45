"""An entry that does not know the upstreams of all services yet."""

from __future__ import annotations

from limpetreel.configuration import weighted_service
from limpetreel.streams.messages import outcome, verdict
from tests import fixtures
from tests.streams import stream_site
from tests.streams.placement import entry_driver

load_tests = fixtures.load_functions(globals())

UNKNOWN_PORT = 9090


def _two_services():
    """Return a configuration with a second service, whose upstreams are not known."""
    cfg = stream_site.make_configuration()
    others = (weighted_service.WeightedService("others", 1),)
    second = stream_site.replace(
        cfg.routes[0], name="second", port=UNKNOWN_PORT, services=others
    )
    limits = stream_site.replace(cfg.services[0], name="others")
    routes, services = (*cfg.routes, second), (*cfg.services, limits)
    return stream_site.replace(cfg, routes=routes, services=services)


def _entry(configured_at):
    """Return an entry that has known the upstreams of the first service for long."""
    entry = entry_driver.EntryDriver(configuration=_two_services())
    entry.update(0.5, ["side-0"], configuration=False)
    entry.tick(configured_at - 0.1)
    assert not entry.core.is_ready
    entry.update(configured_at, ["side-0"])
    entry.answers = lambda message: verdict.Verdict(
        message.offer_id, outcome.Outcome.ACCEPTED, 0, 50, 50
    )
    return entry


def test_entry_is_ready_once_it_knows_upstreams_of_all_services():
    """Guards against packets for an entry that could only refuse them."""
    entry = _entry(5.0)
    entry.tick(5.5)
    assert not entry.core.is_ready
    entry.update(5.6, ["side-0", "others-0"])
    assert entry.core.is_ready


def test_service_without_upstreams_delays_readiness_by_two_seconds():
    """Guards against an entry that never serves since one service has no upstream."""
    entry = _entry(5.0)
    entry.tick(6.9)
    assert not entry.core.is_ready
    entry.tick(7.1)
    assert entry.core.is_ready
    entry.update(8.0, ["side-0"])
    assert entry.core.is_ready


def test_complete_list_makes_an_entry_ready_at_once():
    """Guards against a wait for upstreams that do not exist."""
    entry = _entry(5.0)
    entry.update(5.1, ["side-0"], is_list_current=True)
    assert entry.core.is_ready
    entry.open(5.2, (stream_site.HOST, UNKNOWN_PORT))
    assert entry.resets == 1


def test_flow_is_held_until_upstreams_of_its_service_are_known():
    """Guards against refusals with `tried` 0 while the list of agents is incomplete.

    The configuration arrived 5 s after the process had started.
    """
    entry = _entry(5.0)
    entry.open(5.1, (stream_site.HOST, UNKNOWN_PORT))
    entry.tick(5.3)
    assert not entry.offers
    entry.update(5.35, ["side-0", "others-0"])
    entry.tick(5.4)
    assert [name for name, _ in entry.offers] == ["others-0"]
    assert entry.resets == 0


def test_flow_that_cannot_be_held_longer_is_not_refused():
    """Guards against callers that use up their retries before the list is complete.

    The caller repeats its opening packet, which is held again.
    """
    entry = _entry(5.0)
    flow = entry.open(5.1, (stream_site.HOST, UNKNOWN_PORT))
    for step in range(20):
        entry.tick(5.1 + 0.02 * (step + 2))
    assert entry.resets == 0
    assert not entry.core.needs_tick_soon
    assert [x.step for x in entry.lines] == ["flow.not_placed"]
    entry.open_again(5.7, flow)
    entry.update(5.8, ["side-0", "others-0"])
    entry.tick(5.82)
    assert [name for name, _ in entry.offers] == ["others-0"]


def test_flow_of_a_service_without_upstreams_is_refused_at_once():
    """Guards against a hold that cannot help once the list is complete."""
    entry = _entry(5.0)
    entry.tick(7.1)
    entry.open(7.2, (stream_site.HOST, UNKNOWN_PORT))
    assert entry.resets == 1
