"""The list of upstreams after a common restart, on a simulated network.

Entries reset flows that no upstream in a complete list holds, so that their callers
open new ones. A list that counts as complete too early resets flows that live; one that
does so late lets callers wait.
"""

from __future__ import annotations

import msgspec

from limpetreel.cluster import (
    agent_registry,
    cluster_state,
    command_codec,
    upstream_directory,
    upstream_record,
)
from limpetreel.cluster.commands import register_agents
from limpetreel.cluster.events import report_arrived
from limpetreel.cluster.messages import report
from tests import fixtures
from tests.cluster import control_group, node_fleet

load_tests = fixtures.load_functions(globals())

AGENTS, ENTRIES = 40, 4
TARGET_SECONDS = 1.0
"""From the start of all to a complete list; agents return within 0.5 s."""
LATE_SECONDS = 1.5
SLOW_START_SECONDS = 8.0
REGISTERED_SECONDS = 0.5
"""From the first report of an agent until it is registered and published."""


def running_fleet(seed):
    """Return a fleet whose agents are registered."""
    group = control_group.ControlGroup(seed)
    fleet = node_fleet.NodeFleet(group, AGENTS, ENTRIES)
    assert group.change_until_acked(group.replace(7))
    fleet.run(4.0)
    assert all(e.is_current() and len(e.names) == AGENTS for e in fleet.entries)
    return fleet


def restart(fleet, late=()):
    """Restart all processes; agents return within 0.5 s, except the late ones."""
    fleet.restart_all()
    began_at = fleet.group.now
    returning = [*fleet.entries, *(a for a in fleet.agents if a not in late)]
    for seconds in sorted(fleet.random.uniform(0.0, 0.5) for _ in returning):
        fleet.run(began_at + seconds - fleet.group.now)
        returning.pop().start()


def test_list_is_complete_soon_after_a_common_restart():
    """Guards against a fixed wait after control is back, while callers wait."""
    for seed in range(10):
        fleet = running_fleet(seed)
        restart(fleet)
        seconds = fleet.seconds_until(
            lambda f=fleet: all(e.is_current() for e in f.entries)
        )
        assert seconds + 0.5 <= TARGET_SECONDS, (seed, seconds)
        assert all(len(e.names) == AGENTS for e in fleet.entries)


def test_list_waits_for_an_agent_that_returns_late():
    """Guards against a reset of the flows of an agent that starts after the others."""
    for seed in range(5):
        fleet = running_fleet(seed)
        late = fleet.agents[0]
        restart(fleet, late=[late])
        for _ in range(int(LATE_SECONDS / 0.05)):
            fleet.run(0.05)
            assert not any(e.is_current() for e in fleet.entries), seed
        late.start()
        fleet.run(0.6)
        assert all(e.is_current() and late.name in e.names for e in fleet.entries)


def test_wait_for_an_agent_that_never_returns_ends():
    """Guards against entries that never reset a flow after a machine was removed.

    The wait ends once no flow of the agent has to be kept, and not before.
    """
    fleet = running_fleet(1)
    restart(fleet, late=fleet.agents[:1])
    for _ in range(int(upstream_directory.REMOVAL_SECONDS) - 1):
        fleet.run(1.0)
        assert not any(e.is_current() for e in fleet.entries)
    fleet.run(1.0 + 2 * agent_registry.CHECK_SECONDS)
    assert all(e.is_current() for e in fleet.entries)
    assert len(fleet.group.leader().core.state.agents) == AGENTS - 1


# Entries reset flows of agents that took longer than 2 s to start.
def test_list_stays_incomplete_until_a_slow_agent_has_started():
    """Guards against resets of flows of an agent that is registered but away."""
    for seed in range(3):
        fleet = running_fleet(seed)
        late = fleet.agents[0]
        restart(fleet, late=[late])
        for _ in range(int(SLOW_START_SECONDS / 0.1)):
            fleet.run(0.1)
            assert not any(e.is_current() for e in fleet.entries), seed
        late.start()
        fleet.run(0.6)
        assert all(e.is_current() and late.name in e.names for e in fleet.entries)


# Agents took flows before they were registered, so no list waited for them.
def test_agent_is_not_published_before_it_is_registered():
    """Guards against resets of flows of an agent while the log is slow."""
    directory = upstream_directory.UpstreamDirectory()
    registry = agent_registry.AgentRegistry(directory)
    registry.replace(frozenset({"side-1"}))
    record = upstream_record.UpstreamRecord("side-2", "h", 1, "z", "s-1", True, 2)
    for i in range(20):
        assert not registry.admit(0.4 * i, report.Report(1, i, record), True), i
    assert registry.replace(frozenset({"side-1", "side-2"}))
    assert registry.admit(9.0, report.Report(1, 30, record), True)


def test_new_agent_is_published_when_no_quorum_is_left():
    """Guards against a site that uses no new upstream while control is lost."""
    registry = agent_registry.AgentRegistry(upstream_directory.UpstreamDirectory())
    registry.replace(frozenset({"side-1"}))
    record = upstream_record.UpstreamRecord("side-2", "h", 1, "z", "s-1", True, 2)
    new = report.Report(1, 1, record)
    assert not registry.admit(0.0, new, False)
    assert not registry.admit(4.0, new, False)
    assert not registry.admit(4.5, new, True)
    assert not registry.admit(5.5, new, False)
    assert registry.admit(11.0, new, False)


def end(fleet, agent):
    """Stop an agent whose upstream has signed off."""
    agent.has_ended = True
    fleet.run(0.5)
    agent.stop()
    agent.has_ended = False


def test_agents_that_ended_shortly_before_a_common_restart_are_not_waited_for():
    """Guards against callers that wait because of a release just before a power loss.

    Upstreams that were replaced or removed some seconds before have no flows, but the
    list stayed incomplete until their agents were given up.
    """
    for seed in range(5):
        fleet = running_fleet(seed)
        gone = fleet.agents[:2]
        for agent in gone:
            end(fleet, agent)
        restart(fleet, late=gone)
        fleet.run(TARGET_SECONDS - 0.5)
        assert all(e.is_current() for e in fleet.entries), seed
        assert not {a.name for a in gone} & fleet.group.leader().core.state.agents


def test_list_waits_for_an_agent_that_returned_after_its_end():
    """Guards against a reset of the flows of an agent that was started again."""
    for seed in range(5):
        fleet = running_fleet(seed)
        agent = fleet.agents[0]
        end(fleet, agent)
        fleet.run(0.1)
        agent.start()
        fleet.run(REGISTERED_SECONDS + 2 * agent_registry.INTERVAL_SECONDS)
        assert agent.name in fleet.group.leader().core.state.agents, seed
        assert all(agent.name in e.names for e in fleet.entries), seed
        restart(fleet, late=[agent])
        for _ in range(int(LATE_SECONDS / 0.05)):
            fleet.run(0.05)
            assert not any(e.is_current() for e in fleet.entries), seed


def test_agent_that_returned_stays_registered_when_the_leader_changes():
    """Guards against a time in which a running agent is not registered.

    The next leader has heard of the end of an earlier start of the agent, which the
    present one has not.
    """
    group = control_group.ControlGroup(3)
    fleet = node_fleet.NodeFleet(group, AGENTS, 1)
    assert group.change_until_acked(group.replace(7))
    fleet.run(4.0)
    follower = next(i for i in group.instances.values() if i is not group.leader())
    agent = fleet.agents[0]
    registry = follower.core._registry
    registry._record_end(agent.name)
    for _ in range(40):
        assert registry.next_change(group.now, leads=True) is None
        fleet.run(0.05)
        assert agent.name in group.leader().core.state.agents


def test_late_report_of_an_ended_agent_does_not_register_it_again():
    """Guards against a wait for an agent whose last reports were relayed late."""
    fleet = running_fleet(4)
    agent = fleet.agents[0]
    sequence = agent.sequence
    end(fleet, agent)
    record = upstream_record.UpstreamRecord(agent.name, "h", 1, "z", "s-1", True, 2)
    late = report.Report(agent.start_number, sequence, record)
    for instance in fleet.group.instances.values():
        instance.handle(report_arrived.ReportArrived(late, is_direct=False))
    fleet.run(1.0)
    assert agent.name not in fleet.group.leader().core.state.agents


def test_new_agent_is_registered_before_entries_know_it():
    """Guards against flows of an agent that no later control instance waits for."""
    for seed in range(10):
        fleet = running_fleet(seed)
        new = node_fleet.Node(fleet, "side-new", False)
        fleet.agents.append(new)
        new.start()
        knows = lambda f=fleet, n=new: any(n.name in e.names for e in f.entries)  # noqa: E731
        assert fleet.seconds_until(knows) <= REGISTERED_SECONDS
        registered = [
            i for i in fleet.group.instances.values() if new.name in i.core.state.agents
        ]
        assert len(registered) >= 2, seed


def divided_fleet(seed):
    """Return a fleet, and an entry and an agent at instances without a link.

    Both instances follow the third one.
    """
    group = control_group.ControlGroup(seed)
    group.run(4.0)
    first, second = (i for i in group.instances.values() if i is not group.leader())
    fleet = node_fleet.NodeFleet(group, AGENTS, 1)
    entry, agent = fleet.entries[0], fleet.agents[0]
    entry.home, agent.home = first, second
    fleet.run(4.0)
    group.blocked_links.add(frozenset((first.address, second.address)))
    return fleet, entry, agent


def test_list_waits_for_a_new_agent_that_only_other_instances_hear():
    """Guards against a reset of flows of an agent that the instance has not heard."""
    for seed in range(5):
        fleet, entry, agent = divided_fleet(seed)
        fleet.run(2.0)
        assert entry.is_current(), seed
        new = node_fleet.Node(fleet, "side-new", False)
        new.home = agent.home
        fleet.agents.append(new)
        new.start()
        for _ in range(10):
            fleet.run(1.0)
            assert new.name in entry.instance.core.state.agents
            assert new.name not in entry.names
            assert not entry.is_current(), seed
        fleet.group.blocked_links.clear()
        fleet.run(2.0)
        assert new.name in entry.names
        assert entry.is_current(), seed


def test_agent_that_only_other_instances_hear_stays_in_the_list():
    """Guards against a reset of flows of an agent whose reports are not relayed."""
    fleet, entry, agent = divided_fleet(1)
    fleet.run(upstream_directory.REMOVAL_SECONDS + 5.0)
    assert agent.name in fleet.group.leader().core.state.agents
    assert agent.name in entry.names
    agent.stop()
    fleet.run(upstream_directory.REMOVAL_SECONDS + 5.0)
    assert agent.name not in entry.names


def test_agents_are_written_only_when_they_change():
    """Guards against a log that grows while nothing changes."""
    fleet = running_fleet(3)
    applied = fleet.group.leader().core.state.applied
    fleet.run(20.0)
    assert fleet.group.leader().core.state.applied == applied


def test_earlier_versions_read_the_log_and_the_snapshot():
    """Guards against control instances that end during a rolling upgrade."""

    class Earlier(msgspec.Struct, frozen=True, tag="set_configuration"):
        version: int
        document: bytes

    class EarlierImage(msgspec.Struct, frozen=True):
        version: int
        document: bytes
        zones_out: tuple[str, ...]

    state = cluster_state.ClusterState(control_group.PARSER)
    command = register_agents.RegisterAgents(("side-1",))
    data = command_codec.encode(command)
    assert command_codec.decode(data) == command
    assert msgspec.msgpack.decode(data, type=Earlier) == Earlier(0, b"")
    assert state.apply(1, data) and state.agents == {"side-1"}
    image = msgspec.msgpack.decode(state.snapshot(), type=EarlierImage)
    assert image == EarlierImage(0, b"", ())
    restored = cluster_state.ClusterState(control_group.PARSER)
    restored.restore(1, state.snapshot())
    assert restored.agents == {"side-1"}
    restored.restore(1, msgspec.msgpack.encode(image))
    assert restored.agents == frozenset()
