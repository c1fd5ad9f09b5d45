"""Serving right of a node that has had no lease."""

from __future__ import annotations

from limpetreel.serving import serving_right
from tests import fixtures


def test_node_without_any_lease_has_nothing_left_of_it():
    """Guards against an entry that ends when it serves on zone evidence alone."""
    right = serving_right.ServingRight("a", "r")
    assert right.lease_ms(5.0) == 0
    right.renew(5.0, 1500)
    assert right.lease_ms(6.0) == 500


load_tests = fixtures.load_functions(globals())
