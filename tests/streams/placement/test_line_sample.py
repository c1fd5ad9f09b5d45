"""Sampling of the lines about ordinary placements."""

from __future__ import annotations

from limpetreel.streams.placement import line_sample
from tests import fixtures

load_tests = fixtures.load_functions(globals())


def _lines(sample, now, count):
    """Return the flows of a burst that are logged."""
    flows = [i.to_bytes(12, "big") for i in range(count)]
    ratios = [(f, sample.ratio(now + i / 10_000)) for i, f in enumerate(flows)]
    return [f for f, ratio in ratios if line_sample.is_chosen(f, ratio)]


def test_few_placements_are_all_logged():
    """Guards against sampling where an operator can read every line."""
    sample = line_sample.LineSample()
    assert all(len(_lines(sample, at, 32)) == 32 for at in range(5))


def test_lines_of_a_burst_are_bounded():
    """Guards against log lines that delay the service after a loss of power.

    Some thousand callers reopen their flows within a second.
    """
    sample = line_sample.LineSample()
    assert len(_lines(sample, 0.0, 4000)) <= 250
    assert len(_lines(sample, 1.0, 4000)) <= 64
    assert len(_lines(sample, 9.0, 32)) == 32


def test_flow_that_is_logged_at_one_ratio_is_logged_at_all_lower_ones():
    """Guards against entries that log different flows."""
    flows = [i.to_bytes(12, "big") for i in range(500)]
    for ratio in (2, 4, 8):
        chosen = [f for f in flows if line_sample.is_chosen(f, 2 * ratio)]
        assert chosen
        assert all(line_sample.is_chosen(f, ratio) for f in chosen)
