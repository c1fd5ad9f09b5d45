"""Tests of the limit on new flows of a cold upstream."""

from __future__ import annotations

from limpetreel.streams.serving import start_rate
from tests import fixtures

load_tests = fixtures.load_functions(globals())


def test_no_sliding_second_exceeds_the_rate():
    """Guards against a burst at the border of two counted seconds."""
    limit, sent = start_rate.StartRate(), []
    for step in range(400):
        now = step * 0.01
        if limit.has_capacity(now, 7.0):
            limit.record(now)
            sent.append(now)
    for first in sent:
        assert sum(first <= at < first + 1.0 for at in sent) <= 7


def test_rate_of_zero_does_not_close_a_cold_upstream():
    """Guards against the outage after a power loss, when every upstream was cold.

    Documents without a rate let one flow a second through, and callers were refused
    until the upstreams were warm.
    """
    limit = start_rate.StartRate()
    for _ in range(50):
        assert limit.has_capacity(0.0, 0.0)
        limit.record(0.0)
