"""The revision of a table never decreases, and its indexes match its records."""

from __future__ import annotations

from limpetreel.catalog import table, zone_record
from tests import fixtures


def test_lower_revision_is_ignored():
    """Guards against a table that is reverted to a lower revision."""
    records = table.Table()
    records.apply([zone_record.ZoneRecord("a", "r", False, 7)], 7)
    records.apply([zone_record.ZoneRecord("b", "r", True, 6)], 6)
    records.apply([zone_record.ZoneRecord("a", "r", True, 5)], 8)
    assert (records.revision, records.zone("b")) == (8, None)
    assert not records.is_zone_serving("a")


def test_changes_are_found_in_any_order_of_insertion():
    """Guards against a delta that misses a record put out of order."""
    records = table.Table()
    for name, modified in (("a", 5), ("b", 2), ("c", 9), ("a", 7)):
        records.put(zone_record.ZoneRecord(name, "r", True, modified))
    assert [r.name for r in records.changed_after(4)] == ["a", "c"]


load_tests = fixtures.load_functions(globals())
