"""Service under the load patterns that affect callers most, without a network.

The bounds are the targets of the measurements page.
"""

from __future__ import annotations

from limpetreel.streams.events import upstream_announced
from limpetreel.streams.placement import flow_placement
from tests import fixtures
from tests.streams import stream_site

load_tests = fixtures.load_functions(globals())

UNEVEN = (0.030, 0.030, 0.070, 0.030, 0.070)
"""Mean work in seconds of five upstreams of unequal speed."""


def test_uneven_upstreams_answer_in_time_at_half_load():
    """Guards against a slow upstream that gets as many flows as a fast one."""
    site = stream_site.StreamSite(1, UNEVEN)
    site.run(0.1)
    site.load(110, 10)
    site.run(13)
    assert site.in_time() >= 0.99


def test_service_recovers_after_all_agents_restart_under_load():
    """Guards against queues of flows whose callers have timed out.

    All processes restart under load while callers retry. When flows waited for as long
    as the caller's timeout, the upstreams processed requests that nobody awaited, and
    the share answered in time stayed at 30 %.
    """
    site = stream_site.StreamSite(
        2, UNEVEN, configuration=stream_site.make_configuration(1, 143, 800)
    )
    site.run(0.1)
    site.load(130, 14)
    site.run(4)
    site.down |= {*site.agents, *site.entries}
    site.run(5.4)
    for name in site.agents:
        site.start_agent(name)
    for name in list(site.entries):
        site.start_entry(name)
    site.down.clear()
    site.update_all()
    site.run(18)
    assert site.in_time(8, 13) >= 0.95


def test_overload_is_served_up_to_capacity():
    """Guards against congestion collapse.

    Callers send twice the capacity of the upstreams, with retries. Requests amounting
    to at least three quarters of that capacity must be answered in time.
    """
    site = stream_site.StreamSite(3, UNEVEN)
    site.run(0.1)
    capacity = sum(2 / work for work in UNEVEN)
    site.load(2 * capacity, 8)
    site.run(11)
    good = site.in_time(1, 8) * 2 * capacity
    assert good >= 0.75 * capacity


def test_request_that_cannot_be_served_is_refused_at_once():
    """Guards against refusals that are held back until the caller times out."""
    site = stream_site.StreamSite(4, UNEVEN)
    site.run(0.1)
    for upstream in site.upstreams.values():
        upstream.draining = True
    site.update_all()
    site.load(50, 1, retries=0)
    site.run(3)
    held = [
        x.fields["held_ms"] for _, _, x in site.log_lines if x.step == "flow.refused"
    ]
    assert len(held) == len(site.requests)
    assert max(held) <= 20


def test_dead_upstream_delays_few_requests():
    """Guards against offers to an upstream that crashed without a sign-off.

    One of five upstreams crashes while its agent keeps running.
    """
    site = stream_site.StreamSite(5, UNEVEN)
    site.run(0.1)
    site.load(80, 10)
    site.run(3)
    site.upstreams["agent-0"].is_up = False
    site.run(13)
    assert site.in_time(3.2, 10) >= 0.97


def test_dead_machine_delays_few_requests():
    """Guards against waits for an agent whose machine has failed."""
    site = stream_site.StreamSite(6, UNEVEN)
    site.run(0.1)
    site.load(80, 10)
    site.run(3)
    site.down.add("agent-1")
    site.run(13)
    assert site.in_time(3.2, 10) >= 0.97
    placed = [x for at, _, x in site.log_lines if x.step == "flow.placed" and at >= 3.2]
    slow = [x for x in placed if x.fields["held_ms"] >= 80]
    assert len(slow) <= 0.1 * len(placed)


def test_upstreams_not_reported_to_control_are_still_used():
    """Guards against refusals while the control instances are partitioned.

    Each side of the partition receives reports of its own agents only. When entries
    excluded the others, they had two of seven upstreams left, which were busy.
    """
    site = stream_site.StreamSite(7, UNEVEN)
    site.run(0.1)
    site.unreported = set(site.names[1:])
    site.update_all()
    site.load(110, 6)
    site.run(9)
    assert site.in_time() >= 0.97


def test_callers_are_served_once_upstreams_are_known_after_a_restart():
    """Guards against refusals by processes that do not know their upstreams yet.

    After a restart of all processes, agents receive the announcement of their upstream
    up to 1.2 s later. Until then entries refused callers, which used up their three
    attempts within some tens of milliseconds. One request in twenty may find the
    upstreams busy with those that were held.
    """
    site = stream_site.StreamSite(8, UNEVEN)
    site.run(0.1)
    site.load(80, 6)
    site.run(3)
    for name in site.agents:
        site.start_agent(name)
    for name in list(site.entries):
        site.start_entry(name)
    site.update_all()
    site.run(9)
    asked = [r for r in site.requests if 3.0 <= r.began_at < 4.5]
    served = [r for r in asked if r.answered_at is not None]
    assert len(served) >= 0.95 * len(asked)


def test_opened_flows_without_a_caller_release_their_slots_soon():
    """Guards against an upstream that idles while abandoned flows occupy its slots.

    Twenty flows open and no request follows; the slots were held for 1 s.
    """
    site = stream_site.StreamSite(9, (0.030,), slots=2)
    site.run(0.1)
    for _ in range(20):
        caller = stream_site.Caller(site, stream_site.Request(site.now), 0)
        caller.open()
        caller.time_out(site.now)
    site.run(0.5)
    site.load(20, 2)
    site.run(4)
    assert site.in_time() >= 0.99


def test_long_requests_keep_their_slots_until_their_time_limit():
    """Guards against new flows on top of requests that run for many seconds.

    Every upstream works on two requests of 9 s, whose callers wait for 16 s. A flow
    that is opened beside them after 6 s would only slow all three down.
    """
    cfg = stream_site.make_configuration(1, 12_000, 16_000)
    site = stream_site.StreamSite(12, [9.0, 9.0], configuration=cfg)
    site.run(0.1)
    site.load(200, 0.05, retries=0)
    site.run(6.0)
    assert all(u.in_progress == 2 for u in site.upstreams.values())
    before = len(site.opened)
    site.load(20, 0.5, retries=0)
    site.run(8.0)
    # A flow more than slots is admitted, since requests are on the way at times.
    assert len(site.opened) - before <= len(site.upstreams)


def return_of_callers(seed):
    """Return a site after 240 callers have come at once, and the requests of these.

    They are 0.6 s of work beside a load of half the capacity; callers wait for 1.2 s.
    """
    cfg = stream_site.make_configuration(1, 150, 2000)
    site = stream_site.StreamSite(seed, [0.025] * 5, configuration=cfg)
    site.run(0.1)
    site.load(200, 6)
    site.run(2)
    steady = len(site.requests)
    site.load(240 / 0.02, 0.02)
    returned = site.requests[steady:]
    site.run(8)
    return site, returned


def test_callers_that_return_at_once_are_served_late():
    """Guards against refusals that use up the attempts of callers within milliseconds.

    After an outage all callers return in one moment. Those that could not be answered
    in time were refused three times within 0.2 s, although the upstreams served the
    work of all of them while their callers still waited.
    """
    for seed in range(3):
        _, returned = return_of_callers(seed)
        served = sum(r.answered_at is not None for r in returned)
        assert served >= 0.99 * len(returned), (seed, served, len(returned))


def test_callers_that_wait_at_an_upstream_that_drains_are_served_elsewhere():
    """Guards against refusals of waiting callers at a planned stop under load.

    The other four upstreams have 0.4 s of work then; callers wait for 1.2 s.
    """
    cfg = stream_site.make_configuration(1, 150, 2000)
    site = stream_site.StreamSite(1, [0.025] * 5, configuration=cfg)
    site.run(0.1)
    site.load(120 / 0.02, 0.02, retries=0)
    site.run(0.15)
    upstream = site.upstreams["agent-0"]
    upstream.draining = True
    status = upstream_announced.UpstreamAnnounced(upstream.status())
    site.to_core(upstream.name, status)
    site.run(4)
    served = sum(r.answered_at is not None for r in site.requests)
    assert served >= 0.99 * len(site.requests), (served, len(site.requests))


def test_new_callers_are_answered_in_time_beside_a_backlog():
    """Guards against a backlog that is served in order and makes everyone late.

    The backlog takes 0.6 s of all slots. A new caller goes before it.
    """
    for seed in range(3):
        site, returned = return_of_callers(seed)
        ids = {id(r) for r in returned}
        new = [r for r in site.requests if id(r) not in ids and 2.2 <= r.began_at < 3.4]
        good = [r for r in new if r.answered_at and r.answered_at - r.began_at <= 0.15]
        assert len(good) >= 0.9 * len(new), (seed, len(good), len(new))


def test_lasting_overload_ends_waits_that_no_slot_is_left_for():
    """Guards against callers that wait for nothing while an overload lasts."""
    cfg = stream_site.make_configuration(1, 400, 2000)
    site = stream_site.StreamSite(1, [0.05] * 5, configuration=cfg)
    site.run(0.1)
    site.load(2 * 5 * 2 / 0.05, 6, retries=0)
    site.run(9)
    lines = [(at, x) for at, _, x in site.log_lines if x.step == "flow.refused"]
    held = sorted(x.fields["held_ms"] for at, x in lines if at >= 2.0)
    assert held[int(0.95 * len(held))] <= 400 / 4, held[int(0.95 * len(held))]
    assert site.in_time(2, 6) * 2 >= 0.9


# Each entry heard that no upstream responded, and refused all callers for a second
# without an offer; the upstreams had answered a few milliseconds too late.
def test_callers_that_come_during_a_short_stall_are_served():
    """Guards against an outage of a second that follows a stall of a tenth of one."""
    for seed, stall in ((21, 0.12), (22, 0.12), (23, 0.12), (26, 0.12), (21, 0.4)):
        site = stream_site.StreamSite(seed, (0.03,) * 24)
        site.run(0.1)
        site.load(150, 6)
        site.run(3)
        for upstream in site.upstreams.values():
            upstream.stalled_until = site.now + stall
        site.load(2000, 0.05)
        site.run(9)
        asked = [r for r in site.requests if 3.0 <= r.began_at < 4.2]
        lost = [r for r in asked if r.answered_at is None]
        assert len(lost) <= 0.01 * len(asked), (seed, stall, len(lost), len(asked))


def test_upstreams_that_stay_silent_cost_few_offers():
    """Guards against entries that spend an outage on offers."""
    site = stream_site.StreamSite(24, (0.03,) * 24)
    site.run(0.1)
    for upstream in site.upstreams.values():
        upstream.stalled_until = 9.0
    site.load(300, 1, retries=0)
    site.run(0.4)
    before = site.messages
    site.run(2.5)
    refused = [x for _, _, x in site.log_lines if x.step == "flow.refused"]
    held = [x.fields["held_ms"] for x in refused]
    assert len(refused) >= 0.9 * len(site.requests)
    assert max(held) <= 1000 * flow_placement.QUEUED_SECONDS, max(held)
    # Twelve offers with their answers, and one copy of the opening packet.
    assert site.messages - before <= 26 * len(site.requests)
