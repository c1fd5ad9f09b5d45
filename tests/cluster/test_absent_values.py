"""Tests that no number stands for a value that is not known.

Versions are chosen by operators, so the lowest one that they may send is a version.
"""

from __future__ import annotations

from unittest import mock

import msgspec

from limpetreel.cluster import (
    cluster_core,
    cluster_state,
    command_codec,
    node_session,
    upstream_directory,
)
from limpetreel.cluster.commands import register_agents, set_configuration, set_zone
from limpetreel.cluster.events import node_connected
from tests import fixtures
from tests.cluster import control_group

load_tests = fixtures.load_functions(globals())


def make_state(*commands):
    """Return a state after some commands."""
    state = cluster_state.ClusterState(control_group.PARSER)
    for index, command in enumerate(commands, start=1):
        state.apply(index, command_codec.encode(command))
    return state


def document(version):
    """Return the change to a document."""
    body = cluster_state.compress(control_group.make_document(version))
    return set_configuration.SetConfiguration(version, body)


def next_update(session, state, now):
    """Return the update of a session with a lease."""
    directory = upstream_directory.UpstreamDirectory()
    return session.next_update(now, state, directory, 1000, ())


# A first document of version 0 was acknowledged, and neither stored nor in force.
def test_first_document_of_version_0_is_stored_and_in_force():
    """Guards against an acknowledged document that nobody gets."""
    group = control_group.ControlGroup(41)
    for instance in group.instances.values():
        instance.handle(node_connected.NodeConnected(1, "edge-1", True))
    assert group.change_until_acked(group.replace(0))
    group.run(1.0)
    assert [group.read(name) for name in group.instances].count(0) == 1
    for instance in group.instances.values():
        given = [u for u in instance.updates if u.configuration is not None]
        assert [u.configuration.version for u in given] == [0]
    group.check_final_state()


def test_document_of_version_0_survives_a_restart_from_the_log_and_a_snapshot():
    """Guards against the loss of an acknowledged document with all processes."""
    for entries in (1, 64):
        group = control_group.ControlGroup(42)
        with mock.patch.object(cluster_core, "SNAPSHOT_ENTRIES", entries):
            assert group.change_until_acked(group.replace(0))
            assert group.change_until_acked(set_zone.SetZone("zone-a", True))
            group.run(1.0)
        for instance in group.instances.values():
            instance.crash()
        group.queue.clear()
        for instance in group.instances.values():
            instance.start()
        group.run(3.0)
        group.check_final_state()
        assert group.leader().core.state.version == 0


def test_version_0_is_acknowledged_again_and_replaced_by_1_only():
    """Guards against a version that both is in force and counts as none."""
    group = control_group.ControlGroup(43)
    assert group.change_until_acked(group.replace(0, port=1111))
    assert group.change_until_acked(group.replace(0, port=2222))
    (route,) = group.leader().core.state.configuration.routes
    assert route.port == 1111
    assert group.change_until_acked(group.replace(1, port=3333))
    assert group.change_until_acked(group.replace(0, port=4444))
    (route,) = group.leader().core.state.configuration.routes
    assert (route.port, group.leader().core.state.version) == (3333, 1)


def test_state_without_a_document_has_no_version():
    """Guards against a read of a document that was never sent."""
    state = make_state(set_zone.SetZone("zone-a", True))
    assert (state.version, state.document, state.configuration) == (None, None, None)
    state.restore(9, state.snapshot())
    assert (state.version, state.document) == (None, None)
    restored = make_state()
    restored.restore(9, make_state(document(0)).snapshot())
    assert restored.version == 0
    assert restored.document == control_group.make_document(0)


def test_node_gets_version_0_once():
    """Guards against a node without a configuration, and against one sent each time."""
    session, state = node_session.NodeSession("edge-1", False), make_state()
    assert next_update(session, state, 0.0).configuration is None
    state = make_state(document(0))
    assert next_update(session, state, 0.01).configuration.version == 0
    assert next_update(session, state, 0.02) is None
    assert next_update(session, state, 9.0).configuration is None


def test_change_of_agents_is_no_document():
    """Guards against a register that is read as a document of version 0."""
    command = register_agents.RegisterAgents(("side-1",), ("side-2",))
    assert command_codec.decode(command_codec.encode(command)) == command
    state = make_state(command, document(0))
    assert (state.version, state.agents) == (0, {"side-1"})
    state = make_state(document(0), command)
    assert (state.version, state.agents) == (0, {"side-1"})


def test_entry_of_an_earlier_release_with_version_0_is_a_document():
    """Guards against the loss of a document that an earlier release acknowledged."""

    class Earlier(msgspec.Struct, tag="set_configuration"):
        version: int
        document: bytes

    body = cluster_state.compress(control_group.make_document(0))
    state = make_state()
    assert state.apply(1, msgspec.msgpack.encode(Earlier(0, body)))
    assert state.version == 0
    state = make_state()
    assert not state.apply(1, msgspec.msgpack.encode(Earlier(0, b"")))
    assert (state.version, state.agents) == (None, frozenset())
