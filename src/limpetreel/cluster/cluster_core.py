"""Decision logic of a control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.cluster import (
    agent_registry,
    call_status,
    cluster_state,
    command_codec,
    member_formats,
    node_session,
    pending_call,
    published_state,
    upstream_directory,
)
from limpetreel.cluster.actions import (
    answer_call,
    send_control,
    send_reports,
    send_session,
)
from limpetreel.cluster.events import (
    change_requested,
    consensus_arrived,
    leave,
    node_asked,
    node_connected,
    node_disconnected,
    read_requested,
    report_arrived,
)
from limpetreel.cluster.messages import cluster_codec, consensus_message
from limpetreel.consensus import role
from limpetreel.consensus.actions import (
    apply,
    install_snapshot,
    membership_changed,
    persist,
    proposal_result,
    read_result,
    role_changed,
    save_snapshot,
    send,
)
from limpetreel.consensus.events import (
    message_received,
    proposal,
    propose,
    read,
    resign,
    snapshot_available,
)
from limpetreel.consensus.events import tick as raft_tick
from limpetreel.consensus.messages import envelope, envelope_codec
from limpetreel.core import core, failure
from limpetreel.node import tick
from limpetreel.streams.actions import log_line

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    import msgspec

    from limpetreel.cluster.messages import report
    from limpetreel.configuration import document_parser
    from limpetreel.consensus import raft_core

    Actions = list[msgspec.Struct]
    Fields = dict[str, str | int | float]

CALL_SECONDS = 0.9
"""Below the one second that operators wait for an answer."""
SNAPSHOT_ENTRIES = 64
"""Entries after which a snapshot replaces the log; documents take some tens of
kilobytes each, and the disk is small."""
RELAY_SECONDS = 0.5
"""Interval at which agents' reports are sent again to the other control instances."""
SEED_SECONDS = 2.0
"""Interval at which the seed addresses are read again from the settings file."""
MAX_CALLS = 256
MAX_NAMES_LOGGED = 5


class ClusterCore(core.Core):
    """Connects the replicated log and its state with nodes and operators' calls.

    Parameters
    ----------
    raft : RaftCore
        Replicated log of this instance.
    parser : DocumentParser
        Format of configuration documents.
    address : str
        Address at which other control instances reach this one.
    seeds : callable
        Returns the addresses in the settings, which may change.
    """

    def __init__(
        self,
        raft: raft_core.RaftCore,
        parser: document_parser.DocumentParser,
        address: str,
        seeds: Callable[[], Sequence[str]] = tuple,
    ) -> None:
        self._raft = raft
        self._seeds = seeds
        self._read_seeds_at = 0.0
        self._address = address
        self._state = cluster_state.ClusterState(parser)
        self._published = published_state.PublishedState(self._state, parser)
        self._snapshot_at = raft.snapshot.index
        if raft.snapshot.data:
            self._state.restore(raft.snapshot.index, raft.snapshot.data)
        self._directory = upstream_directory.UpstreamDirectory()
        self._registry = agent_registry.AgentRegistry(self._directory)
        self._registry.replace(self._state.agents)
        self._registration: int | None = None
        self._missing: frozenset[str] = frozenset()
        self._formats = member_formats.MemberFormats(raft.identity)
        self._sessions: dict[int, node_session.NodeSession] = {}
        self._direct_reports: dict[str, report.Report] = {}
        self._relay_at = 0.0
        self._calls: list[pending_call.PendingCall] = []
        self._next_number = 0
        self._is_leaving = False

    @property
    def state(self) -> cluster_state.ClusterState:
        """Return the replicated state."""
        return self._state

    @property
    def raft(self) -> raft_core.RaftCore:
        """Return the replicated log."""
        return self._raft

    @property
    def has_calls(self) -> bool:
        """Return whether calls of operators are pending."""
        return bool(self._calls)

    def handle(self, now: float, event: msgspec.Struct) -> list[msgspec.Struct]:
        """Handle one event; see `core.Core.handle`."""
        match event:
            case consensus_arrived.ConsensusArrived():
                return self._receive_consensus(now, event.envelope)
            case tick.Tick():
                return self._tick(now)
            case report_arrived.ReportArrived():
                return self._report(now, event)
            case node_connected.NodeConnected():
                return self._connect(now, event)
            case node_asked.NodeAsked():
                return self._ask(now, event)
            case node_disconnected.NodeDisconnected():
                return self._disconnect(event)
            case change_requested.ChangeRequested():
                return self._call(now, event.call_id, event.command)
            case read_requested.ReadRequested():
                return self._call(now, event.call_id, None)
            case leave.Leave():
                self._is_leaving = True
                return self._run_raft(now, resign.Resign())
        raise TypeError(type(event))

    def _tick(self, now: float) -> Actions:
        if now >= self._read_seeds_at:
            self._read_seeds_at = now + SEED_SECONDS
            self._raft.change_seeds(self._seeds())
        actions = self._run_raft(now, raft_tick.Tick())
        actions += self._serve_calls(now)
        for name in self._directory.expire(now, self._registry.kept(now)):
            actions.append(
                log_line.LogLine("warning", "upstream.silent", {"agent": name})
            )
        if now >= self._relay_at:
            self._relay_at = now + RELAY_SECONDS
            actions += self._relay(self._direct_reports.values())
        actions += self._register_agents(now)
        actions += self._log_missing()
        actions += self._snapshot(now)
        actions += self._published.check_document()
        self._published.record_lease(now, self._raft.lease_remaining(now))
        return actions + self._update_nodes(now)

    # Nodes

    def _connect(self, now: float, event: node_connected.NodeConnected) -> Actions:
        session = node_session.NodeSession(event.name, event.wants_upstreams)
        self._sessions[event.session_id] = session
        return self._update_node(now, event.session_id, session)

    def _ask(self, now: float, event: node_asked.NodeAsked) -> Actions:
        session = self._sessions.get(event.session_id)
        if session is None:
            return []
        session.ask(event.number)
        return self._update_node(now, event.session_id, session)

    def _disconnect(self, event: node_disconnected.NodeDisconnected) -> Actions:
        session = self._sessions.pop(event.session_id, None)
        connected_names = {s.name for s in self._sessions.values()}
        if session is not None and session.name not in connected_names:
            self._direct_reports.pop(session.name, None)
        return []

    def _report(self, now: float, event: report_arrived.ReportArrived) -> Actions:
        name = event.report.record.name
        was_held = self._registry.is_held(name)
        has_lease = self._raft.lease_remaining(now) > 0
        if self._registry.admit(now, event.report, has_lease):
            is_new = self._directory.record_report(now, event.report)
        else:
            is_new = not was_held
        if not event.is_direct:
            return self._update_nodes(now) if is_new else []
        self._direct_reports[name] = event.report
        if not is_new:
            return []
        return self._relay([event.report]) + self._update_nodes(now)

    def _register_agents(self, now: float) -> Actions:
        """Propose a change of the registered agents, one at a time."""
        leads = self._raft.role is role.Role.LEADER
        leads = leads and self._raft.lease_remaining(now) > 0
        command = self._registry.next_change(now, leads)
        if command is None or self._registration is not None:
            return []
        self._next_number += 1
        self._registration = self._next_number
        data = command_codec.encode(command)
        new_proposal = proposal.Proposal(self._registration, data)
        return self._run_raft(now, propose.Propose((new_proposal,)))

    def _log_missing(self) -> Actions:
        """Log a change of the registered agents that have not reported."""
        missing = self._registry.missing
        if missing == self._missing:
            return []
        self._missing = missing
        names = ",".join(sorted(missing)[:MAX_NAMES_LOGGED])
        fields: Fields = {"missing": len(missing), "first": names}
        return [log_line.LogLine("info", "agents.missing", fields)]

    def _use_registered(self, now: float) -> Actions:
        for waiting in self._registry.replace(self._state.agents):
            self._directory.record_report(now, waiting)
        return self._update_nodes(now)

    def _relay(self, reports: Iterable[report.Report]) -> Actions:
        messages = tuple(cluster_codec.encode(r) for r in reports)
        if not messages:
            return []
        return [
            send_reports.SendReports(address, messages)
            for address in self._other_addresses()
        ]

    def _other_addresses(self) -> list[str]:
        addresses = {m.address for m in self._raft.members}
        return sorted(addresses - {self._address})

    def _update_nodes(self, now: float) -> Actions:
        actions: Actions = []
        for session_id, session in self._sessions.items():
            actions += self._update_node(now, session_id, session)
        return actions

    def _update_node(
        self, now: float, session_id: int, session: node_session.NodeSession
    ) -> Actions:
        lease_ms = int(self._raft.lease_remaining(now) * 1000)
        if self._is_leaving:
            lease_ms = 0
        controls = tuple(sorted(m.address for m in self._raft.members))
        message = session.next_update(
            now,
            self._published.current,
            self._directory,
            lease_ms,
            controls,
            self._registry.is_complete,
        )
        if message is None:
            return []
        return [send_session.SendSession(session_id, message)]

    # Operators

    def _call(
        self, now: float, call_id: int, command: command_codec.Command | None
    ) -> Actions:
        if len(self._calls) >= MAX_CALLS:
            return [self._answer(call_id, call_status.CallStatus.UNAVAILABLE)]
        call = pending_call.PendingCall(call_id, command, now + CALL_SECONDS)
        self._calls.append(call)
        return self._serve_calls(now)

    def _serve_calls(self, now: float) -> Actions:
        """Submit calls to the log, redirect them, or answer them as unavailable."""
        actions: Actions = []
        leader = self._leader_host(now)
        is_leader = self._raft.role is role.Role.LEADER
        for call in list(self._calls):
            if now >= call.expires_at:
                self._calls.remove(call)
                status = call_status.CallStatus.UNAVAILABLE
                actions.append(self._answer(call.call_id, status))
            elif call.number is not None:
                continue
            elif is_leader:
                actions += self._submit_unless_dropped(now, call)
            elif leader is not None:
                self._calls.remove(call)
                status = call_status.CallStatus.REDIRECT
                actions.append(self._answer(call.call_id, status, leader=leader))
        return actions

    def _leader_host(self, now: float) -> str | None:
        """Return the leader's host, None once its lease has expired."""
        if self._raft.lease_remaining(now) <= 0:
            return None
        for member in self._raft.members:
            if member.identity == self._raft.leader:
                return member.address.rpartition(":")[0]
        return None

    def _submit_unless_dropped(
        self, now: float, call: pending_call.PendingCall
    ) -> Actions:
        """Submit a call unless a member would drop its entry; refuse it then."""
        needed = 0
        if call.command is not None:
            needed = command_codec.required_format(call.command)
        if self._formats.are_lacking(self._raft.members, needed):
            self._calls.remove(call)
            status = call_status.CallStatus.UNAVAILABLE
            return [self._answer(call.call_id, status)]
        if needed and self._formats.are_unheard(now, self._raft.members):
            return []
        return self._submit(now, call)

    def _submit(self, now: float, call: pending_call.PendingCall) -> Actions:
        self._next_number += 1
        call.number = self._next_number
        if call.command is None:
            return self._run_raft(now, read.Read(call.number))
        data = command_codec.encode(call.command)
        new_proposal = proposal.Proposal(call.number, data)
        return self._run_raft(now, propose.Propose((new_proposal,)))

    def _finish(self, number: int, status: call_status.CallStatus) -> Actions:
        for call in self._calls:
            if call.number != number:
                continue
            self._calls.remove(call)
            document = None
            if call.command is None and status is call_status.CallStatus.DONE:
                document = self._state.document
                if document is None:
                    status = call_status.CallStatus.MISSING
            return [self._answer(call.call_id, status, document)]
        return []

    def _answer(
        self,
        call_id: int,
        status: call_status.CallStatus,
        document: bytes | None = None,
        leader: str | None = None,
    ) -> msgspec.Struct:
        return answer_call.AnswerCall(call_id, status, document, leader)

    # Replicated log

    def _receive_consensus(self, now: float, data: bytes) -> Actions:
        decoded = envelope_codec.decode(data)
        if isinstance(decoded, failure.Failure):
            fields: Fields = {"reason": str(decoded.reason)}
            return [log_line.LogLine("warning", decoded.step, fields)]
        actions = self._record_format(decoded)
        return actions + self._run_raft(now, message_received.MessageReceived(decoded))

    def _record_format(self, received: envelope.Envelope) -> Actions:
        """Record which entries a member applies; log one that drops some."""
        if not self._formats.record(received.sender, received.log_format):
            return []
        if received.log_format >= command_codec.LOG_FORMAT:
            return []
        fields: Fields = {
            "member": received.sender,
            "log_format": received.log_format,
            "latest": command_codec.LOG_FORMAT,
        }
        return [log_line.LogLine("warning", "control.earlier_release", fields)]

    def _run_raft(self, now: float, event: msgspec.Struct) -> Actions:
        actions: Actions = []
        before = self._state.version, self._state.zones_out
        agents = self._state.agents
        for action in self._raft.handle(now, event):
            if isinstance(action, persist.Persist | save_snapshot.SaveSnapshot):
                actions.append(action)
            elif isinstance(action, send.Send):
                actions.append(self._send_consensus(action))
            else:
                actions += self._handle_raft_action(now, action)
        if self._state.agents is not agents:
            actions += self._use_registered(now)
        if (self._state.version, self._state.zones_out) != before:
            actions += self._update_nodes(now)
        return actions

    def _send_consensus(self, action: send.Send) -> msgspec.Struct:
        outgoing = envelope.Envelope(
            self._raft.identity,
            self._address,
            action.peer,
            action.message,
            command_codec.LOG_FORMAT,
        )
        message = consensus_message.ConsensusMessage(envelope_codec.encode(outgoing))
        return send_control.SendControl(action.address, cluster_codec.encode(message))

    def _handle_raft_action(self, now: float, action: msgspec.Struct) -> Actions:
        match action:
            case apply.Apply():
                return self._apply(action)
            case install_snapshot.InstallSnapshot():
                self._state.restore(action.index, action.data)
                self._snapshot_at = action.index
            case proposal_result.ProposalResult():
                is_done = not isinstance(action.result, failure.Failure)
                if action.proposal_id == self._registration:
                    self._registration = None
                return self._finish(action.proposal_id, _status(is_done))
            case read_result.ReadResult():
                return self._finish(action.read_id, _status(action.current))
            case role_changed.RoleChanged():
                self._formats.record_role(now, action.role is role.Role.LEADER)
                fields: Fields = {
                    "state": str(action.role),
                    "term": action.term,
                    "leader": action.leader,
                }
                return [log_line.LogLine("info", "control.role", fields)]
            case membership_changed.MembershipChanged():
                self._formats.retain(action.members)
                names = [
                    f"{m.identity}@{m.address}{'' if m.voting else ' (no vote)'}"
                    for m in action.members
                ]
                fields = {"members": ", ".join(names)}
                return [log_line.LogLine("info", "control.members", fields)]
        return []

    def _apply(self, action: apply.Apply) -> Actions:
        has_changed = self._state.apply(action.index, action.data)
        fields: Fields = {
            "revision": action.index,
            "zones_out": ",".join(sorted(self._state.zones_out)),
            "agents": len(self._state.agents),
            "changed": int(has_changed),
        }
        if self._state.version is not None:
            fields["version"] = self._state.version
        return [log_line.LogLine("info", "state.applied", fields)]

    def _snapshot(self, now: float) -> Actions:
        applied = self._state.applied
        if applied - self._snapshot_at < SNAPSHOT_ENTRIES:
            return []
        self._snapshot_at = applied
        data = self._state.snapshot()
        return self._run_raft(now, snapshot_available.SnapshotAvailable(applied, data))


def _status(is_done: bool) -> call_status.CallStatus:
    if is_done:
        return call_status.CallStatus.DONE
    return call_status.CallStatus.UNAVAILABLE
