"""Upstreams that accept openings and fail the requests."""

from __future__ import annotations

from limpetreel.streams.messages import outcome, verdict
from tests import fixtures
from tests.streams import stream_site
from tests.streams.placement import entry_driver, failing_upstreams, long_flow_site

load_tests = fixtures.load_functions(globals())

NAMES = [f"side-{i}" for i in range(8)]
WORK_SECONDS = 0.03


def _flows_during(service_ms, utilisation):
    """Return an entry and the flows that one of eight agents gets in four seconds.

    From the second second on the agent reports other figures than the others, and
    accepts all flows.
    """
    entry = entry_driver.EntryDriver(NAMES)
    is_failing = [False]

    def answer(message):
        is_bad = is_failing[0] and entry.offers[-1][0] == NAMES[0]
        figures = (service_ms, utilisation) if is_bad else (30, 40)
        accepted = outcome.Outcome.ACCEPTED
        return verdict.Verdict(
            message.offer_id, accepted, 0, figures[0], 40, 10, figures[1]
        )

    entry.answers = answer
    _open(entry, 1.0, 1.0)
    is_failing[0] = True
    before = len(entry.offers)
    _open(entry, 2.0, 4.0)
    during = [name for name, _ in entry.offers[before:]].count(NAMES[0])
    is_failing[0] = False
    return entry, during


def _open(entry, now, seconds):
    """Open forty flows a second."""
    for i in range(int(seconds * 40)):
        entry.open(now + i / 40)


def _is_readmitted(entry):
    """Return whether the agent gets its share again within some seconds."""
    _open(entry, 6.0, 6.0)
    before = len(entry.offers)
    _open(entry, 12.0, 4.0)
    return [name for name, _ in entry.offers[before:]].count(NAMES[0]) >= 10


def test_late_upstream_gets_only_trials():
    """Guards against flows for an upstream that accepts them and answers late."""
    entry, flows = _flows_during(300, 60)
    assert flows <= 5
    lines = [x.fields for x in entry.lines if x.step == "agent.avoided"]
    assert {f["reason"] for f in lines} == {"late"}
    assert 3 <= len(lines) <= 5
    assert _is_readmitted(entry)


def test_stuck_upstream_gets_only_trials():
    """Guards against flows for an upstream whose requests do not end."""
    entry, flows = _flows_during(30, 100)
    assert flows <= 5
    assert _is_readmitted(entry)


def test_upstream_that_resets_requests_gets_few_flows():
    """Guards against an upstream that looks idle since it resets all requests.

    Without the pause it got one flow in eight, more where loads are compared.
    """
    entry, flows = _flows_during(30, 0)
    assert flows <= 15
    assert _is_readmitted(entry)


def test_slow_upstream_of_uneven_speed_does_not_count_as_failing():
    """Guards against pauses for capacity that is slow but sound."""
    entry, _ = _flows_during(85, 60)
    assert not [x for x in entry.lines if x.step == "agent.avoided"]


def _run_failure(fail):
    """Let one of twelve upstreams fail at 4 s; return the site and its flows."""
    cfg = stream_site.make_configuration(1, 394, 1968)
    site = long_flow_site.LongFlowSite(1, [WORK_SECONDS] * 12, 2, 4, cfg)
    site.run(0.1)
    site.load(0.45 * 12 * 2 / WORK_SECONDS, 14)
    site.run(4)
    fail(site.upstreams["agent-0"])
    site.run(8)
    opened = [at for at, name in site.opened if name == "agent-0" and at >= 5]
    return site, len(opened) / 3


def test_hanging_upstream_costs_few_requests():
    """Guards against flows that wait for slots that never become free."""
    site, flows_per_s = _run_failure(failing_upstreams.hang)
    assert flows_per_s <= 4
    failing_upstreams.repair(site.upstreams["agent-0"], WORK_SECONDS)
    site.announce("agent-0")
    site.run(14)
    assert site.in_time(4.5, 8) >= 0.99
    assert sum(1 for at, n in site.opened if n == "agent-0" and at >= 12) >= 20


def test_late_upstream_costs_few_requests():
    """Guards against requests at an upstream that has become ten times as slow."""
    site, flows_per_s = _run_failure(failing_upstreams.delay)
    assert flows_per_s <= 4
    site.run(11)
    assert site.in_time(4.5, 8) >= 0.99


def test_service_whose_only_upstream_is_late_is_served():
    """Guards against refusals while the only upstream that is left is paused.

    A pause helps only while flows can go elsewhere.
    """
    for others in ([], NAMES[1:2]):
        entry = entry_driver.EntryDriver(NAMES[:1] + others)
        service_ms = [30]

        def answer(message, entry=entry, service_ms=service_ms):
            is_late = entry.offers[-1][0] == NAMES[0]
            service = service_ms[0] if is_late else 30
            accepted = outcome.Outcome.ACCEPTED
            return verdict.Verdict(message.offer_id, accepted, 0, service, 40, 10, 40)

        entry.answers = answer
        _open(entry, 1.0, 2.0)
        service_ms[0] = 300
        _open(entry, 3.0, 2.0)
        assert [x for x in entry.lines if x.step == "agent.avoided"]
        entry.update(5.0, NAMES[:1])
        _open(entry, 5.0, 2.0)
        assert entry.resets == 0, others


def test_flow_may_wait_at_the_only_upstream_that_is_late():
    """Guards against a refusal while the queue of a paused upstream is open."""
    entry = entry_driver.EntryDriver(NAMES[:1])
    figures = [outcome.Outcome.ACCEPTED, 30]
    entry.answers = lambda message: verdict.Verdict(
        message.offer_id,
        outcome.Outcome.QUEUED if message.may_wait else figures[0],
        0,
        figures[1],
        40,
        10,
        40,
    )
    _open(entry, 1.0, 2.0)
    figures[:] = [outcome.Outcome.BUSY, 300]
    entry.open(3.0)
    entry.open(3.05)
    assert [x for x in entry.lines if x.step == "agent.avoided"]
    assert entry.offers[-1][1].may_wait
    assert entry.resets == 0
