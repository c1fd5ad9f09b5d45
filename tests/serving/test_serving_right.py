"""Serving right of a node with, without and after a lease."""

from __future__ import annotations

from limpetreel.catalog import table, zone_record
from limpetreel.serving import serving_right
from tests import fixtures


def test_node_without_a_lease_has_no_remaining_lease_time():
    """Guards against an entry that ends when it serves on zone evidence alone."""
    right = serving_right.ServingRight("a", "r")
    assert right.lease_ms(5.0) == 0
    right.renew(5.0, 1500)
    assert right.lease_ms(6.0) == 500


def test_node_that_never_held_a_lease_serves_on_evidence():
    """Guards against the end of a process that starts while control is unreachable."""
    records = table.Table()
    zones = [zone_record.ZoneRecord(name, "r", True, 1) for name in "ab"]
    records.apply(zones, 1)
    right = serving_right.ServingRight("a", "r")
    assert right.lease_ms(10.0) == 0
    assert not right.may_serve(10.0, records)
    right.record_zone_contact(9.9, "b")
    assert right.may_serve(10.0, records)
    assert right.lease_ms(10.0) == 0
    assert not right.has_own_lease(10.0)
    right.adopt_lease(10.0, 1500)
    assert right.lease_ms(10.5) == 1000
    assert right.lease_ms(11.5) == 0


load_tests = fixtures.load_functions(globals())
