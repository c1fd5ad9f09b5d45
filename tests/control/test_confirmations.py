"""The answer to a zone-out must name the regions that do not know of it."""

from __future__ import annotations

from limpetreel.control import confirmations
from tests import fixtures
from tests.control import renewals


def test_region_is_confirmed_by_all_its_members():
    """Guards against a cut-off region that is reported as out of service."""
    leader = renewals.Leader()
    found = confirmations.Confirmations()
    for name in "mn":
        leader.hear(name)
    for name, revision, incarnation in (("m", 9, 1), ("m", 3, 1), ("n", 8, 1)):
        found.renewed(
            renewals.make_renew(name, revision=revision, incarnation=incarnation)
        )

    def counts():
        item = found.regions(9, leader.table)[0]
        return item.confirmed, item.waiting, item.lost, item.is_confirmed

    assert counts() == (1, 1, 0, False)
    leader.run(6)
    assert counts() == (1, 0, 1, False)
    found.renewed(renewals.make_renew("n", revision=9))
    assert counts() == (2, 0, 0, True)
    leader.hear("m", incarnation=2)
    assert counts() == (1, 1, 0, False)
    found.renewed(renewals.make_renew("m", revision=3, incarnation=3))
    assert counts() == (1, 1, 0, False)


load_tests = fixtures.load_functions(globals())
