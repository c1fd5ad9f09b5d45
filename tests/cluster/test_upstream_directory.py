"""Tests of the directory of upstreams at a control instance."""

from __future__ import annotations

import msgspec

from limpetreel.cluster import upstream_directory, upstream_record
from limpetreel.cluster.messages import report
from tests import fixtures

load_tests = fixtures.load_functions(globals())

RECORD = upstream_record.UpstreamRecord(
    "side-1", "10.0.0.1", 7000, "zone-a", "bookings", True, 2
)
ENDED = msgspec.structs.replace(RECORD, is_accepting=False, has_ended=True)
OLD_START, NEW_START = 7, 3


def listed(directory):
    """Return the only record of a directory."""
    records, _ = directory.changed_since(-1)
    assert len(records) == 1
    return records[0]


def test_late_report_of_an_ended_start_does_not_hide_the_next_one():
    """Guards against an upstream that is taken for ended after its restart.

    Another control instance relays the last report of the earlier start until it
    notices that the connection is gone.
    """
    directory = upstream_directory.UpstreamDirectory()
    directory.record_report(0.0, report.Report(OLD_START, 9, ENDED))
    assert directory.record_report(0.1, report.Report(NEW_START, 1, RECORD))
    assert not directory.record_report(0.2, report.Report(OLD_START, 9, ENDED))
    assert listed(directory) == RECORD


def test_end_of_the_known_start_is_listed():
    """Guards against callers that wait for an agent that has left for good."""
    directory = upstream_directory.UpstreamDirectory()
    directory.record_report(0.0, report.Report(OLD_START, 1, RECORD))
    assert directory.record_report(0.1, report.Report(OLD_START, 2, ENDED))
    assert listed(directory).has_ended


def test_removals_are_forgotten_after_all_nodes_could_learn_of_them():
    """Guards against a directory that grows with each upstream that was ever there."""
    directory = upstream_directory.UpstreamDirectory()
    for number in range(1000):
        record = msgspec.structs.replace(RECORD, name=f"side-{number}")
        directory.record_report(number * 1.0, report.Report(number, 1, record))
        directory.expire(number * 1.0)
    assert len(directory.changed_since(-1)[1]) < 200
