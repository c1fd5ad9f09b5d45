"""Tests of the state of an upstream as its agent observes it."""

from __future__ import annotations

import msgspec

from limpetreel.streams import (
    start_succession,
    upstream_state,
    upstream_status,
)
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
        is start_succession.Freshness.LATE
    )
    assert not upstream.is_accepting(0.1)


def test_announcement_of_an_earlier_start_is_late():
    """Guards against the state of a crashed start replacing that of the next one."""
    upstream = upstream_state.UpstreamState(INTERVAL)
    upstream.record_announcement(0.0, make_status(instance_id="i-2", started_ms=2000))
    late = make_status(instance_id="i-1", started_ms=1000, sequence=99)
    assert upstream.record_announcement(0.1, late) is start_succession.Freshness.LATE


def test_restart_under_the_same_id_is_a_new_start():
    """Guards against a new start that is ignored because its sequence starts over.

    It is believed once the earlier start has missed its next announcement.
    """
    upstream = upstream_state.UpstreamState(INTERVAL)
    upstream.record_announcement(0.0, make_status(sequence=40))
    again = make_status(started_ms=5000, sequence=1)
    assert upstream.record_announcement(1.0, again) is start_succession.Freshness.RIVAL
    assert upstream.is_accepting(1.0)
    again = make_status(started_ms=5000, sequence=2)
    result = upstream.record_announcement(1.5 * INTERVAL, again)
    assert result is start_succession.Freshness.NEW_START
    assert upstream.is_accepting(1.5 * INTERVAL)


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
        upstream.record_announcement(INTERVAL, later) is start_succession.Freshness.LATE
    )
    assert (
        upstream.record_announcement(3 * INTERVAL, later)
        is start_succession.Freshness.NEW_START
    )
    assert upstream.is_accepting(3 * INTERVAL)


def test_delayed_announcement_of_a_replaced_start_stays_late():
    """Guards against a crashed start that returns once its successor is silent."""
    upstream = upstream_state.UpstreamState(INTERVAL)
    upstream.record_announcement(0.0, make_status(instance_id="i-1", started_ms=1000))
    second = make_status(instance_id="i-2", started_ms=2000)
    result = upstream.record_announcement(2 * INTERVAL, second)
    assert result is start_succession.Freshness.NEW_START
    for sequence in (98, 99):
        late = make_status(instance_id="i-1", started_ms=1000, sequence=sequence)
        result = upstream.record_announcement(9 * INTERVAL, late)
        assert result is start_succession.Freshness.LATE


# Announcements of another writer, each valid in all its fields.
ODD = {
    "later start under another id": {"instance_id": "i-x", "started_ms": 9000},
    "no time of start": {"instance_id": "i-x", "started_ms": None},
    "later start under the same id": {"started_ms": 9000},
    "no time of start under the same id": {"started_ms": None, "sequence": 50},
    "sequence far ahead": {"sequence": 10**9},
    "draining under another id": {
        "instance_id": "i-x",
        "started_ms": 9000,
        "is_draining": True,
    },
    "draining with a sequence far ahead": {"sequence": 10**9, "is_draining": True},
    "cold for a day": {"instance_id": "i-x", "started_ms": 9000, "cold_ms": 86_400_000},
}


def announce_until(upstream, since, until, first_sequence):
    """Announce the living start each interval; return times and whether it counts."""
    results = []
    number = 0
    while since + number * INTERVAL < until:
        at = since + number * INTERVAL
        status = make_status(sequence=first_sequence + number)
        upstream.record_announcement(at, status)
        results.append((at, upstream.is_in_force(status)))
        number += 1
    return results


# An announcement of another writer took the upstream's place for good.
def test_living_upstream_wins_against_each_odd_announcement():
    """Guards against an upstream without new flows although it announces itself."""
    for name, changes in ODD.items():
        upstream = upstream_state.UpstreamState(INTERVAL)
        announce_until(upstream, 0.0, 5 * INTERVAL, 1)
        upstream.record_announcement(4.5 * INTERVAL, make_status(**changes))
        results = announce_until(upstream, 5 * INTERVAL, 11 * INTERVAL, 6)
        assert [counts for _, counts in results[3:]] == [True] * 3, name
        assert upstream.is_accepting(10.5 * INTERVAL), name
        assert not upstream.is_cold(10.5 * INTERVAL), name


def test_odd_announcement_of_another_start_changes_nothing_meanwhile():
    """Guards against refusals until the upstream announces itself again."""
    for name, changes in ODD.items():
        if changes.get("sequence") == 10**9:
            continue
        upstream = upstream_state.UpstreamState(INTERVAL)
        announce_until(upstream, 0.0, 5 * INTERVAL, 1)
        odd = make_status(**changes)
        result = upstream.record_announcement(4.5 * INTERVAL, odd)
        assert not result.is_in_force, name
        assert upstream.is_accepting(4.6 * INTERVAL), name
        results = announce_until(upstream, 5 * INTERVAL, 11 * INTERVAL, 6)
        assert all(counts for _, counts in results), name


# The first announcement that an agent hears may be that of another writer.
def test_living_upstream_wins_although_another_writer_came_first():
    """Guards against an agent that restarts beside another writer."""
    for name, changes in ODD.items():
        upstream = upstream_state.UpstreamState(INTERVAL)
        upstream.record_announcement(0.0, make_status(**changes))
        results = announce_until(upstream, 0.5 * INTERVAL, 6 * INTERVAL, 7)
        assert [counts for _, counts in results[3:]] == [True] * 3, name
        assert upstream.is_accepting(5.5 * INTERVAL), name


def test_writer_with_a_new_id_each_time_does_not_displace_the_upstream():
    """Guards against claims that take turns as long as each is heard once.

    Each odd announcement comes just when the one before it is overdue.
    """
    upstream = upstream_state.UpstreamState(INTERVAL)
    odd_intervals = 1.05 * start_succession.OVERDUE_INTERVALS
    odd = [
        (n * odd_intervals, make_status(instance_id=f"i-x{n}", started_ms=9000 + n))
        for n in range(40)
    ]
    own = [(n + 0.5, make_status(sequence=n + 1)) for n in range(50)]
    counts = []
    for intervals, status in sorted(odd + own, key=lambda pair: pair[0]):
        upstream.record_announcement(intervals * INTERVAL, status)
        if status.instance_id == STATUS.instance_id:
            counts.append(upstream.is_in_force(status))
    assert all(counts[5:])


def test_writer_that_has_stopped_does_not_hold_back_the_next_start():
    """Guards against a new start that waits for as many announcements as an odd one."""
    upstream = upstream_state.UpstreamState(INTERVAL)
    upstream.record_announcement(0.0, STATUS)
    for number in range(1, 6):
        odd = make_status(instance_id="i-x", started_ms=9000, sequence=number)
        upstream.record_announcement(0.1 * number, odd)
    following = make_status(instance_id="i-2", started_ms=2000)
    result = upstream.record_announcement(2.5 * INTERVAL, following)
    assert result is start_succession.Freshness.NEW_START


def test_starts_that_are_kept_are_bounded():
    """Guards against memory that grows with each odd announcement."""
    upstream = upstream_state.UpstreamState(INTERVAL)
    upstream.record_announcement(0.0, STATUS)
    for number in range(1000):
        odd = make_status(instance_id=f"i-x{number}", started_ms=9000 + number)
        upstream.record_announcement(0.1 + number * 1e-4, odd)
    rivals = upstream._succession._rivals
    assert len(rivals) <= start_succession.MAX_RIVALS
    for number in range(1000):
        upstream.record_end(upstream.status.instance_id)
        odd = make_status(instance_id=f"i-y{number}", started_ms=9000 + number)
        upstream.record_announcement(1.0 + number * 1e-4, odd)
    assert len(upstream._succession._past) <= start_succession.MAX_PAST_STARTS


def test_start_that_has_ended_is_replaced_at_once():
    """Guards against a wait for the announcement of an upstream that signed off."""
    upstream = upstream_state.UpstreamState(INTERVAL)
    upstream.record_announcement(0.0, STATUS)
    assert upstream.record_sign_off("i-1")
    following = make_status(instance_id="i-2", started_ms=2000)
    result = upstream.record_announcement(0.1, following)
    assert result is start_succession.Freshness.NEW_START


def test_upstream_is_cold_while_a_start_that_may_have_replaced_it_is():
    """Guards against more flows than a cold upstream bears before it is believed."""
    upstream = upstream_state.UpstreamState(INTERVAL)
    upstream.record_announcement(0.0, STATUS)
    following = make_status(instance_id="i-2", started_ms=2000, cold_ms=2000)
    upstream.record_announcement(0.5, following)
    assert upstream.is_cold(0.6)
    upstream.record_announcement(1.2, make_status(sequence=2))
    assert not upstream.is_cold(1.3)


def test_sign_off_counts_as_received_only_if_its_sender_gets_no_flow():
    """Guards against an ack of a sign-off after which new flows go on."""
    upstream = upstream_state.UpstreamState(INTERVAL)
    assert upstream.is_unused("i-1")
    upstream.record_announcement(0.0, make_status(instance_id="i-x"))
    assert not upstream.is_unused("i-1")
    upstream.record_announcement(2 * INTERVAL, make_status(started_ms=2000))
    upstream.record_sign_off("i-1")
    assert upstream.is_unused("i-1") and upstream.is_unused("i-x")
