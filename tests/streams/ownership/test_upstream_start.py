"""Tests of the order of the starts of an upstream and its agent."""

from __future__ import annotations

from limpetreel.streams import upstream_status
from limpetreel.streams.ownership import process_start, upstream_start
from tests import fixtures

load_tests = fixtures.load_functions(globals())

UNIX_MS = 1_700_000_000_000
INTERVAL = 1.2
COLD = 2.0
CREATED = 50.0
"""Monotonic time at which the agent's process was created."""


def is_later(
    heard_at, started_at, cold_left, sequence, clock_error=0.0, cold=COLD, **changes
):
    """Return what the agent concludes from the first announcement that it hears.

    Parameters
    ----------
    heard_at, started_at : float
        True time of the announcement and of the upstream's start.
    cold_left : float
        Time for which the upstream says that it stays cold.
    clock_error : float
        Seconds by which the machine's clock was ahead when the upstream started.
    """
    process = process_start.ProcessStart(CREATED, UNIX_MS + CREATED * 1000)
    started_ms = int(UNIX_MS + (started_at + clock_error) * 1000)
    status = upstream_status.UpstreamStatus(
        "i-1",
        changes.get("started_ms", started_ms),
        sequence,
        "s-1",
        2,
        False,
        int(cold_left * 1000),
    )
    start = upstream_start.UpstreamStart(
        changes.get("process", process), changes.get("interval", INTERVAL)
    )
    start.record(heard_at, status)
    return start.is_later(cold)


def test_upstream_that_starts_after_the_agent_has_no_unknown_flows():
    """Guards against 60 s of probes after a missed first announcement."""
    assert is_later(51.6, 50.3, 0.7, 2)
    assert is_later(51.6, 50.01, 0.41, 2)


def test_agent_that_is_killed_alone_stays_unsure():
    """Guards against resets of flows that an earlier agent has placed."""
    assert not is_later(50.5, 10.0, 0.0, 34)
    assert not is_later(50.5, 49.0, 0.5, 2)


# An upstream that had started up to 0.1 s before the agent counted as later.
def test_upstream_that_starts_together_with_the_agent_may_hold_flows():
    """Guards against resets of flows of an agent that was killed right before."""
    assert not is_later(51.6, 49.95, 0.35, 2)
    assert not is_later(51.6, 49.99, 0.39, 2)
    assert not is_later(51.6, 49.95, 0.45, 2)


def test_upstream_that_restarted_while_its_announcements_were_cut_off():
    """Guards against trust in a late announcement, heard when it is warm again."""
    assert is_later(53.9, 52.3, 0.4, 2)
    assert not is_later(60.0, 52.3, 0.0, 7)
    # The old start, cold again since its zone has returned.
    assert not is_later(51.0, 20.0, 1.5, 26)


def test_clock_that_was_set_back_does_not_make_an_old_upstream_young():
    """Guards against a start that seems to follow since the clock was ahead then."""
    for error in (0.5, 1.0, 5.0, 60.0, 3600.0):
        assert not is_later(50.5, 48.9, 0.4, 2, clock_error=error)
        assert not is_later(50.5, 48.9, 0.4, 1, clock_error=error)
        assert not is_later(50.5, 40.0, 0.0, 9, clock_error=error)
        assert not is_later(50.5, 40.0, 1.9, 9, clock_error=error)


def test_warm_return_stays_unsure():
    """Guards against trust in the start time alone when the upstream is not cold."""
    assert not is_later(51.6, 50.3, 0.0, 2)
    assert not is_later(51.6, 50.3, 0.0, 2, cold=0.0)


def test_missing_or_contradicting_values_stay_unsure():
    """Guards against trust in two of the three values."""
    assert not is_later(51.6, 50.3, 0.7, 2, started_ms=None)
    assert not is_later(51.6, 50.3, 0.7, 2, process=None)
    # Longer cold than the configuration allows, or a configuration that is not known.
    assert not is_later(51.6, 50.3, 2.5, 2)
    assert not is_later(51.6, 50.3, 0.7, 2, cold=0.0)
    # More announcements than fit into the time.
    assert not is_later(51.6, 50.3, 0.7, 4)
    # Cold for so long that it must have started before.
    assert not is_later(51.6, 50.3, 0.1, 2)
    # A start in the future.
    assert not is_later(51.6, 50.3, 0.7, 2, clock_error=30.0)
