"""Tests of the state of an upstream as its agent observes it."""

from __future__ import annotations

import msgspec

from limpetreel.streams import upstream_state, upstream_status
from tests import fixtures

load_tests = fixtures.load_functions(globals())

INTERVAL = 1.2
STATUS = upstream_status.UpstreamStatus("i-1", 1000, 1, "bookings", 2, False, 0)


def make_status(**changes):
    """Return an announcement."""
    return msgspec.structs.replace(STATUS, **changes)


def test_late_announcement_does_not_undo_a_drain():
    """Guards against new flows to a draining upstream after reordered announcements."""
    upstream = upstream_state.UpstreamState(INTERVAL)
    upstream.record_announcement(0.0, make_status(sequence=5, is_draining=True))
    assert (
        upstream.record_announcement(0.1, make_status(sequence=4))
        is upstream_state.Freshness.LATE
    )
    assert not upstream.is_accepting(0.1)


def test_announcement_of_an_earlier_start_is_late():
    """Guards against the state of a crashed start replacing that of the next one."""
    upstream = upstream_state.UpstreamState(INTERVAL)
    upstream.record_announcement(0.0, make_status(instance_id="i-2", started_ms=2000))
    late = make_status(instance_id="i-1", started_ms=1000, sequence=99)
    assert upstream.record_announcement(0.1, late) is upstream_state.Freshness.LATE


def test_restart_under_the_same_id_is_a_new_start():
    """Guards against a new start that is ignored because its sequence starts over."""
    upstream = upstream_state.UpstreamState(INTERVAL)
    upstream.record_announcement(0.0, make_status(sequence=40))
    again = make_status(started_ms=5000, sequence=1)
    assert (
        upstream.record_announcement(1.0, again) is upstream_state.Freshness.NEW_START
    )


def test_upstream_without_announcements_is_not_accepting():
    """Guards against new flows to an upstream that crashed without a sign-off."""
    upstream = upstream_state.UpstreamState(INTERVAL)
    upstream.record_announcement(0.0, STATUS)
    assert upstream.is_accepting(2 * INTERVAL)
    assert not upstream.is_accepting(3 * INTERVAL)


def test_upstream_of_a_returned_zone_counts_as_cold():
    """Guards against full load on upstreams that got cold while their zone was out."""
    upstream = upstream_state.UpstreamState(INTERVAL)
    upstream.record_announcement(0.0, STATUS)
    assert not upstream.is_cold(0.1)
    upstream.expect_cold()
    assert upstream.is_cold(0.2)
    upstream.record_announcement(1.2, make_status(sequence=2, cold_ms=500))
    assert upstream.is_cold(1.6)
    assert not upstream.is_cold(1.8)


def test_sign_off_of_another_start_is_ignored():
    """Guards against a late sign-off closing the next start."""
    upstream = upstream_state.UpstreamState(INTERVAL)
    upstream.record_announcement(0.0, make_status(instance_id="i-2", started_ms=2000))
    assert not upstream.record_sign_off("i-1")
    assert upstream.is_accepting(0.1)
    assert upstream.record_sign_off("i-2")
    assert not upstream.is_accepting(0.1)


def test_upstream_that_left_an_opening_unanswered_is_blocked():
    """Guards against callers that wait in turn for an upstream that does not answer."""
    upstream = upstream_state.UpstreamState(INTERVAL)
    upstream.record_announcement(0.0, make_status())
    upstream.record_timeout(1.0)
    assert upstream.is_blocked(1.0 + 0.9 * upstream_state.RETRY_SECONDS)
    assert not upstream.is_blocked(1.0 + 1.1 * upstream_state.RETRY_SECONDS)
    upstream.record_timeout(2.0)
    upstream.record_answer()
    assert not upstream.is_blocked(2.0)


def test_start_after_the_time_of_day_was_set_back_is_accepted():
    """Guards against an upstream that is ignored until its clock has caught up.

    While the earlier start still announces itself, an older one is late.
    """
    upstream = upstream_state.UpstreamState(INTERVAL)
    upstream.record_announcement(0.0, make_status(instance_id="i-1", started_ms=9000))
    later = make_status(instance_id="i-2", started_ms=4000)
    assert (
        upstream.record_announcement(INTERVAL, later) is upstream_state.Freshness.LATE
    )
    assert (
        upstream.record_announcement(3 * INTERVAL, later)
        is upstream_state.Freshness.NEW_START
    )
    assert upstream.is_accepting(3 * INTERVAL)


def test_delayed_announcement_of_a_replaced_start_stays_late():
    """Guards against a crashed start that returns once its successor is silent."""
    upstream = upstream_state.UpstreamState(INTERVAL)
    upstream.record_announcement(0.0, make_status(instance_id="i-1", started_ms=1000))
    upstream.record_announcement(1.0, make_status(instance_id="i-2", started_ms=2000))
    late = make_status(instance_id="i-1", started_ms=1000, sequence=99)
    assert (
        upstream.record_announcement(9 * INTERVAL, late)
        is upstream_state.Freshness.LATE
    )
