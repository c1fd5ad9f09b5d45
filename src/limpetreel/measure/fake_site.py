"""Simulated site: callers, network fabric, entries, agents and control."""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING

import msgspec

from limpetreel.agent import agent_core
from limpetreel.agent.actions import send_upstream
from limpetreel.agent.events import upstream_announced, upstream_datagram
from limpetreel.catalog import node_identity, role, table
from limpetreel.catalog.commands import bootstrap
from limpetreel.coap import coap_protocol
from limpetreel.consensus import durable_state, member, raft_core, snapshot
from limpetreel.control import control_core
from limpetreel.control.actions import answer_operator, send_peer
from limpetreel.control.events import operator_call, peer_message
from limpetreel.entry import entry_core, entry_shell
from limpetreel.entry.actions import open_class, send_caller
from limpetreel.entry.events import caller_datagram
from limpetreel.measure import (
    coap_upstream,
    event_queue,
    fake_caller,
    fake_network,
    fake_node,
    measured_site,
)
from limpetreel.node import node_link
from limpetreel.wire import address

if TYPE_CHECKING:
    from limpetreel.measure import upstream_profile

CONTROL_COUNT = 3
ANNOUNCE_INTERVAL_SECONDS = 0.5
CALLER_LATENCY_SECONDS = 0.003
"""One-way latency between callers and the site."""
UPSTREAM_LATENCY_SECONDS = 0.0001
FABRIC_UPDATE_SECONDS = 0.2
"""Delay until the fabric uses an entry for a class, or stops to, after a change."""

RESTART_SECONDS = 1.0
"""Time for which a restarting upstream is down."""


class FakeSite(measured_site.MeasuredSite):
    """Runs the cores of all processes of one site.

    Parameters
    ----------
    zones : tuple of str
        Zones of the site; the control instances run in the first three.
    one_way_s : float
        One-way latency between zones in seconds.
    seed : int
        Seed of all random choices.
    loss : float
        Probability that a frame is lost, and that it is duplicated.
    """

    def __init__(
        self, zones: tuple[str, ...], one_way_s: float, seed: int, loss: float = 0.0
    ) -> None:
        self.queue = event_queue.EventQueue()
        self.rng = random.Random(seed)
        self.network = fake_network.FakeNetwork(
            self.queue, random.Random(seed + 1), one_way_s, loss
        )
        self.zones = zones
        self.controls: dict[str, fake_node.FakeNode] = {}
        self.entries: dict[str, fake_node.FakeNode] = {}
        self.agents: dict[str, fake_node.FakeNode] = {}
        self.upstreams: dict[str, coap_upstream.CoapUpstream] = {}
        self.callers: dict[address.Address, fake_caller.FakeCaller] = {}
        self.answers: dict[int, tuple[float, dict[str, object]]] = {}
        self.packet_count = 0
        self._fabric_entries: dict[int, list[fake_node.FakeNode]] = {}
        self.isolated_controls: set[str] = set()
        self._call_count = 0
        self._host_count = 0
        self._incarnation = 1000
        self._addresses: dict[str, address.Address] = {}
        for i in range(CONTROL_COUNT):
            self.start_control(f"control-{i}", zones[i % len(zones)])

    def start_control(self, name: str, zone: str) -> None:
        """Start a control instance as a member of a new cluster."""
        members = tuple(
            member.Member(f"control-{i}", 1, f"control-{i}")
            for i in range(CONTROL_COUNT)
        )
        durable = durable_state.DurableState(
            name, 1, 0, "", snapshot.Snapshot(0, 0, members)
        )
        raft = raft_core.RaftCore(durable, random.Random(self.rng.random()), name)
        node_core = control_core.ControlCore(
            self.queue.now, raft, bootstrap.Bootstrap(20000, 20999), name
        )
        action_handler = functools.partial(self._control_action, name)
        self.controls[name] = self._node(name, zone, node_core, action_handler)

    def start_entry(self, name: str, zone: str) -> None:
        """Start an entry, or restart it with no state kept."""
        if name in self.entries:
            self._withdraw(self.entries[name])
        self._stop(self.entries, name)
        link = self._link(name, zone, role.Role.ENTRY, "")
        node_core = entry_core.EntryCore(link, self._address(name), trace_every=0)
        action_handler = functools.partial(self._entry_action, name)
        self.entries[name] = self._node(name, zone, node_core, action_handler, link)

    def restart_entry(self, name: str, zone: str) -> None:
        """Stop an entry gracefully and restart it with no state kept."""
        node = self.entries[name]
        assert isinstance(node.core, entry_core.EntryCore)
        self._withdraw(node)
        for action in node.core.link.leave(self.queue.now):
            node.execute(action)
        start = functools.partial(self.start_entry, name, zone)
        self.queue.after(entry_shell.LEAVING_SECONDS, start)

    def start_agent(
        self, class_name: str, name: str, zone: str, upstream: str = ""
    ) -> None:
        """Start an agent, or restart it with no state kept."""
        self._stop(self.agents, name)
        link = self._link(name, zone, role.Role.AGENT, class_name)
        protocol = coap_protocol.CoapProtocol()
        node_core = agent_core.AgentCore(link, protocol, self.rng.randrange(1 << 30))
        action_handler = functools.partial(self._agent_action, upstream or name)
        node = self._node(name, zone, node_core, action_handler, link)
        self.agents[name] = node
        self._announce(node, class_name, upstream or name)

    def start_upstream(
        self, name: str, profile: upstream_profile.UpstreamProfile
    ) -> None:
        """Start the upstream beside the agent of the same name."""
        sender = functools.partial(self._from_upstream, name)
        rng = random.Random(self.rng.random())
        self.upstreams[name] = coap_upstream.CoapUpstream(
            name, self.queue, profile, rng, sender
        )

    def reuse_address(self, name: str, earlier: str) -> None:
        """Assign the address of an earlier node to a node that starts later."""
        self._addresses[name] = self._addresses[earlier]

    def table(self) -> table.Table | None:
        """Return the table of the leader, or None if there is no leader."""
        name = self.leader()
        return self._control(name).catalog.table if name else None

    def restart_upstream(self, name: str, class_name: str) -> None:
        """Restart an upstream: it loses its requests and announces a cold start."""
        upstream = self.upstreams[name]
        upstream.executor.stop()
        upstream.run_id = f"run-{self.queue.now}"

        def start() -> None:
            upstream.executor.start(self.queue.now)
            event = upstream_announced.UpstreamAnnounced(
                class_name, upstream.run_id, False
            )
            self.agents[name].handle(event)

        self.queue.after(RESTART_SECONDS, start)

    def add_caller(self, class_id: int) -> fake_caller.FakeCaller:
        """Add a caller of a class."""
        caller_address = address.Address(0x0A000000 + len(self.callers) // 4, 40000)
        caller_address = address.Address(
            caller_address.ip, caller_address.port + len(self.callers) % 4
        )
        caller = fake_caller.FakeCaller(
            self.queue, caller_address, class_id, self._to_entry, self.rng
        )
        self.callers[caller_address] = caller
        return caller

    def command(self, body: dict[str, object], control: str = "") -> int:
        """Send an operator's request to a control instance, by default the leader."""
        self._call_count += 1
        name = control or self.leader()
        event = operator_call.OperatorCall(self._call_count, msgspec.json.encode(body))
        if name:
            self.controls[name].handle(event)
        return self._call_count

    def change(self, kind: str, name: str, **fields: object) -> int:
        """Send a change of a record, with the leader's current revision as expected."""
        leader = self.leader()
        key = f"{kind.partition('_')[0]}/{name}"
        expected = 0
        if leader:
            records = self._control(leader).catalog.table.records
            expected = records[key].modified if key in records else 0
        body = {"type": kind, "name": name, "expected": expected, **fields}
        return self.command({**body, "command_id": f"command-{self._call_count + 1}"})

    def leader(self) -> str:
        """Return the name of the leader, empty if there is none."""
        for name, node in self.controls.items():
            if node.is_up and self._control(name).raft.role == "leader":
                return name
        return ""

    def relay_count(self) -> int:
        """Return how many packets agents have relayed."""
        return sum(_agent_core_of(n).relays for n in self.agents.values())

    def _control(self, name: str) -> control_core.ControlCore:
        control = self.controls[name].core
        assert isinstance(control, control_core.ControlCore)
        return control

    def _link(
        self, name: str, zone: str, node_role: role.Role, class_name: str
    ) -> node_link.NodeLink:
        host, port = address.to_socket(self._address(name))
        self._incarnation += 1
        identity = node_identity.NodeIdentity(
            name, node_role, class_name, zone, "local", host, port, self._incarnation
        )
        controls = [self._address(c) for c in self.controls]
        return node_link.NodeLink(identity, controls, self.rng.randrange(1 << 30))

    def _node(
        self,
        name: str,
        zone: str,
        node_core: control_core.ControlCore
        | entry_core.EntryCore
        | agent_core.AgentCore,
        action_handler: fake_node.ActionHandler,
        link: node_link.NodeLink | None = None,
    ) -> fake_node.FakeNode:
        node_id = link.node_id if link else len(self._addresses) + 1
        incarnation = link.identity.incarnation if link else 1
        return fake_node.FakeNode(
            self.queue,
            self.network,
            self._address(name),
            zone,
            node_id,
            incarnation,
            node_core,
            action_handler,
        )

    def _address(self, name: str) -> address.Address:
        if name not in self._addresses:
            self._host_count += 1
            self._addresses[name] = address.Address(0x7F010000 + self._host_count, 7000)
        return self._addresses[name]

    def _stop(self, nodes: dict[str, fake_node.FakeNode], name: str) -> None:
        if name in nodes:
            nodes[name].stop()

    def _announce(
        self, node: fake_node.FakeNode, class_name: str, upstream: str
    ) -> None:
        if node.is_up:
            coap = self.upstreams[upstream]
            if not coap.executor.is_down:
                event = upstream_announced.UpstreamAnnounced(
                    class_name, coap.run_id, False
                )
                node.handle(event)
            repeat = functools.partial(self._announce, node, class_name, upstream)
            self.queue.after(ANNOUNCE_INTERVAL_SECONDS, repeat)

    def _to_entry(self, caller: fake_caller.FakeCaller, datagram: bytes) -> None:
        """Send a caller's datagram to a random entry that the fabric uses."""
        self.packet_count += 1
        entries = self._fabric_entries.get(caller.class_id)
        if not entries:
            return
        chosen = self.rng.choice(entries)
        event = caller_datagram.CallerDatagram(
            caller.class_id, caller.address, datagram
        )
        delay = CALLER_LATENCY_SECONDS * self.rng.uniform(0.8, 1.4)
        self.queue.after(delay, functools.partial(chosen.handle, event))

    def _withdraw(self, node: fake_node.FakeNode) -> None:
        """Remove an entry from all classes of the fabric after a delay."""
        for entries in self._fabric_entries.values():
            drop = functools.partial(_remove_entry, entries, node)
            self.queue.after(FABRIC_UPDATE_SECONDS, drop)

    def _entry_action(self, name: str, action: msgspec.Struct) -> None:
        if isinstance(action, open_class.OpenClass):
            entries = self._fabric_entries.setdefault(action.class_id, [])
            add = functools.partial(entries.append, self.entries[name])
            self.queue.after(FABRIC_UPDATE_SECONDS, add)
        elif isinstance(action, send_caller.SendCaller):
            caller = self.callers[action.caller]
            receive = functools.partial(caller.receive, action.datagram)
            self.queue.after(
                CALLER_LATENCY_SECONDS * self.rng.uniform(0.8, 1.4), receive
            )

    def _agent_action(self, upstream: str, action: msgspec.Struct) -> None:
        if isinstance(action, send_upstream.SendUpstream):
            coap = self.upstreams[upstream]
            receive = functools.partial(coap.receive, action.caller, action.datagram)
            self.queue.after(UPSTREAM_LATENCY_SECONDS, receive)

    def _from_upstream(
        self, name: str, caller: address.Address, datagram: bytes
    ) -> None:
        event = upstream_datagram.UpstreamDatagram(caller, datagram)
        self.queue.after(
            UPSTREAM_LATENCY_SECONDS, functools.partial(self.agents[name].handle, event)
        )

    def _control_action(self, name: str, action: msgspec.Struct) -> None:
        if isinstance(action, answer_operator.AnswerOperator):
            body = msgspec.json.decode(action.body)
            self.answers[action.call_id] = self.queue.now, body
        elif isinstance(action, send_peer.SendPeer):
            target = self.controls.get(action.address)
            if target is None or {name, action.address} & self.isolated_controls:
                return
            event = peer_message.PeerMessage(action.kind, action.body)
            zone = self.controls[name].zone
            if self.network.is_partitioned(zone, target.zone):
                return
            delay = self.network.delay(zone, target.zone)
            self.queue.after(delay, functools.partial(target.handle, event))


def _remove_entry(entries: list[fake_node.FakeNode], node: fake_node.FakeNode) -> None:
    """Remove an entry from those that the fabric uses for a class."""
    if node in entries:
        entries.remove(node)


def _agent_core_of(node: fake_node.FakeNode) -> agent_core.AgentCore:
    assert isinstance(node.core, agent_core.AgentCore)
    return node.core
