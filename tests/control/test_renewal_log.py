"""Revisions that members have confirmed must not be overstated."""

from __future__ import annotations

from limpetreel.control import renewal_log
from tests import fixtures
from tests.control import renewals


def test_revision_counts_for_the_present_process_only():
    """Guards against a revision of a replaced process that counts as confirmed.

    A region that is cut off would then be reported as out of service.
    """
    leader = renewals.Leader()
    log = renewal_log.RenewalLog()
    for name in "mn":
        leader.renew(name)

    def record(name, revision, incarnation):
        log.record(
            leader.now,
            renewals.make_renew(name, revision=revision, incarnation=incarnation),
        )

    def revisions():
        confirmations = log.confirmations(leader.now + 1.5, leader.table)
        return {c.name: c.revision for c in confirmations}

    assert revisions() == {"m": 0, "n": 0}
    record("m", 9, 1)
    record("m", 3, 1)
    record("n", 8, 1)
    assert revisions() == {"m": 9, "n": 8}
    leader.renew("m", incarnation=2)
    assert revisions() == {"m": 0, "n": 8}
    record("m", 9, 1)
    assert revisions() == {"m": 0, "n": 8}
    record("m", 3, 3)
    record("n", 9, 1)
    assert revisions() == {"m": 3, "n": 9}
    ages = [c.age_s for c in log.confirmations(leader.now + 1.5, leader.table)]
    assert ages == [1.5, 1.5]


load_tests = fixtures.load_functions(globals())
