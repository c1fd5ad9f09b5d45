"""Requests that may run once only beside an upstream that goes down and up by turns."""

from __future__ import annotations

import msgspec

from limpetreel.configuration import request_kind
from limpetreel.streams import upstream_state
from limpetreel.streams.events import upstream_announced
from tests import fixtures
from tests.streams import stream_site

load_tests = fixtures.load_functions(globals())

UNSTABLE = "agent-0"
HALF_PERIOD_SECONDS = 0.43


def run_with_unstable_upstream(seed, kind, seconds=8.0):
    """Return a site after an upstream went down and up, its agent running on."""
    cfg = stream_site.make_configuration(1, 200, 2000)
    route = msgspec.structs.replace(cfg.routes[0], kind=kind)
    cfg = msgspec.structs.replace(cfg, routes=(route,))
    site = stream_site.StreamSite(seed, [0.03] * 8, configuration=cfg)
    site.run(0.1)
    site.load(0.4 * 8 * 2 / 0.03, seconds, retries=0)
    upstream = site.upstreams[UNSTABLE]
    until = site.now + seconds
    while site.now < until:
        upstream.is_up = False
        site.run(site.now + HALF_PERIOD_SECONDS)
        upstream.is_up = True
        upstream.restart()
        status = upstream_announced.UpstreamAnnounced(upstream.status())
        site.to_core(UNSTABLE, status)
        site.run(site.now + HALF_PERIOD_SECONDS)
    return site


def opened_at_unstable(site):
    """Return how many flows opened at the upstream after its second crash."""
    since = 0.1 + 4 * HALF_PERIOD_SECONDS
    return sum(at >= since and name == UNSTABLE for at, name in site.opened)


def test_upstream_that_goes_down_by_turns_gets_no_request_that_may_not_be_repeated():
    """Guards against lost requests whose callers cannot repeat them."""
    for seed in range(3):
        site = run_with_unstable_upstream(seed, request_kind.RequestKind.NON_IDEMPOTENT)
        assert opened_at_unstable(site) <= 0.01 * len(site.opened), seed
        lost = [r for r in site.requests if r.answered_at is None]
        assert len(lost) <= 0.02 * len(site.requests), (seed, len(lost))


def test_upstream_that_goes_down_by_turns_is_tried_with_idempotent_requests():
    """Guards against an upstream that never shows that it has recovered."""
    site = run_with_unstable_upstream(1, request_kind.RequestKind.IDEMPOTENT)
    assert opened_at_unstable(site) > 0


def test_requests_are_served_although_all_upstreams_broke_off():
    """Guards against refusals while no upstream is known to be stable."""
    cfg = stream_site.make_configuration(1, 200, 2000)
    kind = request_kind.RequestKind.NON_IDEMPOTENT
    route = msgspec.structs.replace(cfg.routes[0], kind=kind)
    cfg = msgspec.structs.replace(cfg, routes=(route,))
    site = stream_site.StreamSite(1, [0.03] * 5, configuration=cfg)
    site.run(0.1)
    for name, upstream in site.upstreams.items():
        upstream.restart()
        status = upstream_announced.UpstreamAnnounced(upstream.status())
        site.to_core(name, status)
    site.load(100, 1.5, retries=0)
    site.run(4)
    assert site.in_time() >= 0.97


def test_pause_grows_with_breaks_and_ends():
    """Guards against an upstream that crashed once and is left out for good."""
    state = upstream_state.UpstreamState(stream_site.ANNOUNCEMENT_SECONDS)
    assert not state.is_unstable(0.0)
    state.record_break(10.0)
    state.record_break(10.1)
    assert state.is_unstable(11.9) and not state.is_unstable(12.2)
    state.record_break(12.5)
    assert state.is_unstable(16.0) and not state.is_unstable(16.6)
    state.record_break(60.0)
    assert not state.is_unstable(62.1)
