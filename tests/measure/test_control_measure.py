"""Tests of the measurements of control."""

from __future__ import annotations

from limpetreel.measure import control_measure
from tests import fixtures


def test_equal_seeds_give_equal_figures():
    """Guards against results that depend on more than the seed."""
    first = control_measure.measure_commands(3)
    assert first == control_measure.measure_commands(3)
    # Without accepted commands, none could be lost or repeated.
    assert [m.value for m in first] == [control_measure.COMMAND_COUNT, 0.0, 0.0]


def test_only_buckets_of_the_removed_upstream_move():
    """Guards against a table that moves buckets between the remaining upstreams."""
    result = control_measure.measure_moved_buckets(1)
    assert result.value <= result.bound + 1e-9 < result.baseline


load_tests = fixtures.load_functions(globals())
