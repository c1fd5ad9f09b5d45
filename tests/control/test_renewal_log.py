"""What members have confirmed must not be overstated."""

from __future__ import annotations

from limpetreel.control import renewal_log
from tests import fixtures
from tests.control import renewals


def test_revision_counts_for_the_present_process_only():
    """Guards against a cut-off region that is reported as out of service.

    It replaces the test of the counts by region, which was of a class without use:
    a member counts as confirmed at a revision under the same conditions.
    """
    leader = renewals.Leader()
    log = renewal_log.RenewalLog()
    for name in "mn":
        leader.hear(name)

    def note(name, revision, incarnation):
        log.note(
            leader.now,
            renewals.make_renew(name, revision=revision, incarnation=incarnation),
        )

    def revisions():
        found = log.confirmations(leader.now + 1.5, leader.table)
        return {c.name: c.revision for c in found}

    assert revisions() == {"m": 0, "n": 0}
    note("m", 9, 1)
    note("m", 3, 1)
    note("n", 8, 1)
    assert revisions() == {"m": 9, "n": 8}
    leader.hear("m", incarnation=2)
    assert revisions() == {"m": 0, "n": 8}
    note("m", 9, 1)
    assert revisions() == {"m": 0, "n": 8}
    note("m", 3, 3)
    note("n", 9, 1)
    assert revisions() == {"m": 3, "n": 9}
    ages = [c.age_s for c in log.confirmations(leader.now + 1.5, leader.table)]
    assert ages == [1.5, 1.5]


load_tests = fixtures.load_functions(globals())
