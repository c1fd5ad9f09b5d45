"""Nodes must not stay with a control instance that is cut off from the others."""

from __future__ import annotations

from tests import fixtures
from tests.site import fuzz_site

SEED = 5


def test_nodes_leave_a_control_instance_that_grants_no_lease():
    """Guards against nodes that go on to serve after control has marked them as lost.

    This happens if they stay connected to an isolated control instance, which cannot
    grant leases.
    """
    site = fuzz_site.FuzzSite(SEED, zone_count=3, class_count=1, agent_count=4)
    for control in site.controls:
        site.isolated_controls = {control}
        site.queue.run_until(site.queue.now + 8.0)
        now = site.queue.now
        nodes = {**site.agents, **site.entries}
        held = {n: v.core.link.right.has_own_lease(now) for n, v in nodes.items()}
        assert all(held.values()), (control, held)


load_tests = fixtures.load_functions(globals())
