"""The measurement of control must be repeatable and see what it counts."""

from __future__ import annotations

from limpetreel.measure import control_measure
from tests import fixtures


def test_equal_seeds_give_equal_figures():
    """Guards against figures that cannot be repeated."""
    first = control_measure.measure_commands(3)
    assert first == control_measure.measure_commands(3)
    # Without accepted commands, none could be lost.
    assert [m.value for m in first] == [control_measure.COMMANDS, 0.0, 0.0]


def test_moved_part_is_that_of_the_upstream_that_left():
    """Guards against a table that moves buckets of upstreams that stay."""
    found = control_measure.measure_moved(1)
    assert found.value <= found.bound + 1e-9 < found.baseline


load_tests = fixtures.load_functions(globals())
