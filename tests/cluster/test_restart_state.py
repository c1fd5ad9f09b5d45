"""Tests of what nodes get from control instances that have just restarted."""

from __future__ import annotations

from unittest import mock

from limpetreel.cluster import cluster_core, published_state
from limpetreel.cluster.commands import set_zone
from limpetreel.cluster.events import node_connected
from tests import fixtures
from tests.cluster import control_group

load_tests = fixtures.load_functions(globals())

NODE = node_connected.NodeConnected(1, "edge-1", True)


def restarted_group(seed, started):
    """Return a group with an old snapshot, of which some instances have restarted.

    A node is connected to each of them. Document 9 and a zone that is out are newer
    than the snapshots.
    """
    group = control_group.ControlGroup(seed)
    with mock.patch.object(cluster_core, "SNAPSHOT_ENTRIES", 4):
        for version in range(1, 9):
            assert group.change_until_acked(group.replace(version))
        group.run(0.5)
    assert group.change_until_acked(set_zone.SetZone("zone-a", True))
    assert group.change_until_acked(group.replace(9))
    group.run(0.5)
    for instance in group.instances.values():
        instance.crash()
    group.queue.clear()
    instances = list(group.instances.values())[:started]
    for instance in instances:
        instance.start()
        assert 0 < instance.core.state.version < 9
        instance.handle(NODE)
    return group, instances


def test_restart_of_all_control_instances_brings_no_older_state_into_force():
    """Guards against flows on a removed route, or to a zone that is out.

    The snapshot of an instance is older than the document in force, and a node that
    has restarted too knows no newer one.
    """
    for seed in range(20):
        group, instances = restarted_group(seed, 3)
        group.run(2.0)
        for instance in instances:
            given = [u for u in instance.updates if u.configuration is not None]
            assert [u.configuration.version for u in given] == [9], seed
            assert given[0].zones_out == ("zone-a",), seed


def test_update_without_a_lease_does_not_replace_what_a_node_knows():
    """Guards against a zone that is out and is in use again after a restart."""
    _, instances = restarted_group(1, 1)
    (update,) = instances[0].updates
    assert (update.revision, update.configuration) == (0, None)


def test_instance_without_a_quorum_gives_its_last_document_after_a_while():
    """Guards against entries that serve nobody while control has no quorum."""
    group, (instance,) = restarted_group(2, 1)
    group.run(published_state.UNCONFIRMED_SECONDS + 0.5)
    assert instance.updates[-1].lease_ms == 0
    assert any(u.configuration is not None for u in instance.updates)
