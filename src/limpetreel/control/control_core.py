"""Decisions of a control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limpetreel import exceptions
from limpetreel.catalog import catalog, result
from limpetreel.catalog.commands import command_codec
from limpetreel.consensus import member, role
from limpetreel.consensus.actions import (
    apply,
    install_snapshot,
    persist,
    proposal_result,
    read_result,
    role_changed,
    save_snapshot,
    send,
)
from limpetreel.consensus.events import (
    change,
    change_membership,
    message_received,
    proposal,
    propose,
    read,
    resign,
    snapshot_available,
)
from limpetreel.consensus.events import tick as raft_tick
from limpetreel.consensus.messages import envelope, envelope_codec
from limpetreel.control import (
    member_tracker,
    node_service,
    operator_answers,
    renewal_log,
)
from limpetreel.control.actions import answer_operator, send_peer
from limpetreel.control.events import leave, operator_call, peer_message
from limpetreel.control.messages import founding_message, renewal_report
from limpetreel.core import core, failure, reason
from limpetreel.messages import delta_request, renew
from limpetreel.node import frame_arrived, send_frame, tick
from limpetreel.wire import kind, message_codec

if TYPE_CHECKING:
    from limpetreel.catalog.commands import bootstrap
    from limpetreel.consensus import raft_core
    from limpetreel.control import founding
    from limpetreel.wire import address, frame

    Actions = list[msgspec.Struct]

REPORT_INTERVAL_SECONDS = 0.1
TRACK_INTERVAL_SECONDS = 0.5
RENEWALS_PER_REPORT = 200
SNAPSHOT_ENTRIES = 2_000
"""Entries after which a snapshot replaces the log; most of a day of changes."""
MAX_CALLS = 48
"""Pending operator requests; fewer than the workers of `operator_server`, so that
one is always free to answer that the instance is overloaded."""
MAX_REQUEST_BYTES = 65_536
"""Enough for a class with more than a thousand zones."""
LEAVE_SECONDS = 1.0
"""Time for waiting commands to be accepted, and again for the next leader."""
MAX_RESULTS = 1_000


class ControlCore(core.Core):
    """Combines the replicated log, the catalog, leases and operator requests.

    Parameters
    ----------
    now : float
        Time in seconds.
    raft : RaftCore
        Replicated log of this instance.
    first_entry : Bootstrap
        Entry that the first leader proposes.
    own_address : str
        Address for other control instances, ``host:port``.
    start : Founding or None
        Acceptance by the other first members; None to take part at once.

    Raises
    ------
    CorruptError
        If the recovered snapshot cannot be read.
    """

    def __init__(
        self,
        now: float,
        raft: raft_core.RaftCore,
        first_entry: bootstrap.Bootstrap,
        own_address: str,
        start: founding.Founding | None = None,
    ) -> None:
        self._raft = raft
        self._first_entry = first_entry
        self._own_address = own_address
        self._founding = start
        self._catalog = catalog.Catalog()
        self._snapshot_at = 0
        # The log entries after a snapshot apply only to the state in the snapshot.
        if raft.snapshot.data:
            self._restore(raft.snapshot.index, raft.snapshot.data)
        self._nodes = node_service.NodeService(now, self._catalog.table)
        self._renewals = renewal_log.RenewalLog()
        self._tracker: member_tracker.MemberTracker | None = None
        self._next_track = 0.0
        self._next_report = 0.0
        self._next_id = 0
        self._proposals: list[proposal.Proposal] = []
        self._calls: dict[int, int] = {}
        self._reads: dict[int, int] = {}
        self._results: dict[int, result.Result] = {}
        self._leave_at: float | None = None
        self._has_resigned = False
        self.dropped: dict[reason.Reason, int] = {}

    @property
    def catalog(self) -> catalog.Catalog:
        """The replicated state of this instance."""
        return self._catalog

    @property
    def raft(self) -> raft_core.RaftCore:
        """The replicated log of this instance."""
        return self._raft

    @property
    def is_founding(self) -> bool:
        """Whether other first members have yet to accept this instance."""
        return self._founding is not None and not self._founding.is_done

    @property
    def has_left(self) -> bool:
        """Whether a planned stop may end the process."""
        return self._has_resigned and self._raft.leader != ""

    def handle(self, now: float, event: msgspec.Struct) -> list[msgspec.Struct]:
        """Process one event; see `core.Core.handle`."""
        if isinstance(event, frame_arrived.FrameArrived):
            return self._from_node(now, event)
        if isinstance(event, peer_message.PeerMessage):
            return self._from_peer(now, event)
        if isinstance(event, tick.Tick):
            return self._tick(now)
        if isinstance(event, operator_call.OperatorCall):
            return self._from_operator(now, event)
        if isinstance(event, leave.Leave):
            self._leave_at = now
            return []
        raise TypeError(type(event))

    def _tick(self, now: float) -> Actions:
        actions = self._run(now, raft_tick.Tick())
        if self._tracker is not None and now >= self._next_track:
            self._next_track = now + TRACK_INTERVAL_SECONDS
            self._propose_all(self._tracker.tick(now, self._catalog.table))
        if now >= self._next_report:
            self._next_report = now + REPORT_INTERVAL_SECONDS
            actions += self._report()
        if self._founding is not None:
            actions += self._founding.tick(now)
        actions += self._flush(now) + self._snapshot(now)
        return actions + self._leave(now)

    def _leave(self, now: float) -> Actions:
        """Transfer the leadership once no command is pending."""
        if self._leave_at is None or self._has_resigned:
            return []
        if self._calls and now < self._leave_at + LEAVE_SECONDS:
            return []
        self._has_resigned = True
        return self._run(now, resign.Resign())

    def _from_node(self, now: float, event: frame_arrived.FrameArrived) -> Actions:
        if event.frame.kind != kind.Kind.MESSAGE:
            return self._drop(reason.Reason.UNKNOWN_KIND)
        message = message_codec.decode(event.frame.body)
        if isinstance(message, renew.Renew):
            return self._renew(now, event.source, event.frame, message)
        if isinstance(message, delta_request.DeltaRequest):
            sender = event.frame.sender
            parts = self._nodes.delta_requested(now, sender, message)
            return [_to_node(event.source, event.frame, part) for part in parts]
        return self._drop(reason.Reason.MALFORMED)

    def _renew(
        self,
        now: float,
        source: address.Address,
        received: frame.Frame,
        renewal: renew.Renew,
    ) -> Actions:
        self._renewals.record(now, renewal)
        if self._tracker is not None:
            table = self._catalog.table
            self._propose_all(self._tracker.renewed(now, renewal, table))
        else:
            self._renewals.queue_report(renewal)
        lease_ms = int(self._raft.lease_remaining(now) * 1000)
        answer = self._nodes.renewed(renewal, lease_ms)
        return [_to_node(source, received, answer)]

    def _from_peer(self, now: float, event: peer_message.PeerMessage) -> Actions:
        if event.kind == kind.Kind.CONSENSUS:
            received = envelope_codec.decode(event.body)
            if isinstance(received, failure.Failure):
                return self._drop(received.reason)
            return self._run(now, message_received.MessageReceived(received))
        if event.kind == kind.Kind.FOUNDING:
            message = founding_message.decode(event.body)
            if isinstance(message, failure.Failure):
                return self._drop(message.reason)
            return self._founding.handle(message) if self._founding else []
        report = renewal_report.decode(event.body)
        if isinstance(report, failure.Failure):
            return self._drop(report.reason)
        for renewal in report.renewals:
            self._renewals.record(now, renewal)
            if self._tracker is not None:
                table = self._catalog.table
                self._propose_all(self._tracker.renewed(now, renewal, table))
        return []

    def _report(self) -> Actions:
        """Forward the renewals received by this instance to the leader."""
        leader = self._leader_address()
        if self._tracker is not None or not leader:
            return []
        renewals = self._renewals.take_report(RENEWALS_PER_REPORT)
        if not renewals:
            return []
        body = renewal_report.encode(renewal_report.RenewalReport(renewals))
        return [send_peer.SendPeer(leader, kind.Kind.REPORT, body)]

    def _leader_address(self) -> str:
        for control in self._raft.members:
            if control.identity == self._raft.leader:
                return control.address
        return ""

    def _from_operator(self, now: float, event: operator_call.OperatorCall) -> Actions:
        if len(event.body) > MAX_REQUEST_BYTES:
            size = f"{len(event.body)} bytes; at most {MAX_REQUEST_BYTES} are allowed"
            return self._answer(event.call_id, operator_answers.MALFORMED, size)
        try:
            fields = msgspec.json.decode(event.body, type=dict)
        except (msgspec.DecodeError, RecursionError) as exc:
            malformed = operator_answers.MALFORMED
            return self._answer(event.call_id, malformed, str(exc))
        request_type = fields.get("type")
        refusal = self._refusal(request_type)
        if refusal is not None:
            return self._answer(event.call_id, *refusal)
        if request_type == "table":
            self._next_id += 1
            self._reads[self._next_id] = event.call_id
            return self._run(now, read.Read(self._next_id))
        if request_type == "confirmations":
            return self._confirmations(now, event.call_id)
        if request_type in ("control_add", "control_remove"):
            return self._change_control(now, event.call_id, fields)
        command = command_codec.read_request(event.body)
        if isinstance(command, result.Result):
            body = operator_answers.command_answer(command)
            return [answer_operator.AnswerOperator(event.call_id, body)]
        self._calls[self._propose(command)] = event.call_id
        return []

    def _refusal(self, request_type: object) -> tuple[str, str] | None:
        """Return status and detail if the request must be refused."""
        if self._founding is not None and not self._founding.is_done:
            missing = ", ".join(self._founding.missing)
            detail = f"new cluster; waits for first contact with {missing}"
            return operator_answers.NOT_LEADER, detail
        if self._leave_at is not None and request_type != "table":
            return operator_answers.NOT_LEADER, "the instance is stopping"
        if len(self._calls) + len(self._reads) >= MAX_CALLS:
            detail = f"{MAX_CALLS} requests wait already; nothing was done"
            return operator_answers.OVERLOADED, detail
        return None

    def _confirmations(self, now: float, call_id: int) -> Actions:
        # A paused process remains leader until its next tick, but has no lease.
        if self._tracker is None or not self._raft.lease_remaining(now):
            leader = self._raft.leader
            return self._answer(call_id, operator_answers.NOT_LEADER, leader)
        table = self._catalog.table
        body = operator_answers.confirmations_answer(
            table.revision, self._renewals.confirmations(now, table)
        )
        return [answer_operator.AnswerOperator(call_id, body)]

    def _change_control(
        self, now: float, call_id: int, fields: dict[str, object]
    ) -> Actions:
        """Add or remove a control instance."""
        operation = change.Change(str(fields["type"]).removeprefix("control_"))
        try:
            control = msgspec.convert(fields.get("member"), type=member.Member)
        except msgspec.ValidationError as exc:
            return self._answer(call_id, operator_answers.MALFORMED, str(exc))
        self._next_id += 1
        self._calls[self._next_id] = call_id
        event = change_membership.ChangeMembership(self._next_id, operation, control)
        return self._run(now, event)

    def _answer(self, call_id: int, status: str, detail: str = "") -> Actions:
        body = operator_answers.status_answer(status, detail)
        return [answer_operator.AnswerOperator(call_id, body)]

    def _propose_all(self, commands: list[command_codec.Command]) -> None:
        for command in commands:
            self._propose(command)

    def _propose(self, command: command_codec.Command) -> int:
        """Queue a command for the log and return its number."""
        self._next_id += 1
        data = command_codec.encode(command)
        self._proposals.append(proposal.Proposal(self._next_id, data))
        return self._next_id

    def _flush(self, now: float) -> Actions:
        """Propose all queued commands together, with one write and one sync."""
        if not self._proposals:
            return []
        event = propose.Propose(tuple(self._proposals))
        self._proposals = []
        return self._run(now, event)

    def _snapshot(self, now: float) -> Actions:
        applied = self._catalog.applied
        if applied - self._snapshot_at < SNAPSHOT_ENTRIES:
            return []
        self._snapshot_at = applied
        data = self._catalog.snapshot()
        return self._run(now, snapshot_available.SnapshotAvailable(applied, data))

    def _run(self, now: float, event: msgspec.Struct) -> Actions:
        """Pass an event to the replicated log and process the resulting actions."""
        if self.is_founding:
            return []
        actions: Actions = []
        for action in self._raft.handle(now, event):
            if isinstance(action, persist.Persist | save_snapshot.SaveSnapshot):
                actions.append(action)
            elif isinstance(action, send.Send):
                actions.append(self._to_peer(action))
            else:
                actions += self._process(now, action)
        return actions

    def _process(self, now: float, action: msgspec.Struct) -> Actions:
        if isinstance(action, apply.Apply):
            self._results[action.index] = self._catalog.apply(action.index, action.data)
            if len(self._results) > MAX_RESULTS:
                del self._results[next(iter(self._results))]
        elif isinstance(action, install_snapshot.InstallSnapshot):
            self._restore(action.index, action.data)
        elif isinstance(action, role_changed.RoleChanged):
            self._change_role(now, action)
        elif isinstance(action, proposal_result.ProposalResult):
            return self._proposal_ended(action)
        elif isinstance(action, read_result.ReadResult):
            return self._answer_read(action)
        return []

    def _restore(self, index: int, data: bytes) -> None:
        error = self._catalog.restore(data)
        if error is not None:
            raise exceptions.CorruptError("control.restore", str(error))
        self._snapshot_at = index

    def _change_role(self, now: float, action: role_changed.RoleChanged) -> None:
        if action.role is not role.Role.LEADER:
            self._tracker = None
            return
        self._tracker = member_tracker.MemberTracker(now)
        if self._catalog.applied == 0:
            self._propose(self._first_entry)

    def _proposal_ended(self, action: proposal_result.ProposalResult) -> Actions:
        call_id = self._calls.pop(action.proposal_id, None)
        if call_id is None:
            return []
        if isinstance(action.result, int):
            applied = self._results.get(action.result)
            if applied is None:
                return self._answer(call_id, "applied")
            body = operator_answers.command_answer(applied)
            return [answer_operator.AnswerOperator(call_id, body)]
        if action.result.reason is reason.Reason.NOT_LEADER:
            status = operator_answers.NOT_LEADER
            return self._answer(call_id, status, self._raft.leader)
        # Only a command that entered the log can have an unknown outcome.
        if action.result.reason is reason.Reason.TIMEOUT:
            return self._answer(call_id, operator_answers.UNKNOWN, str(action.result))
        if action.result.reason is reason.Reason.OVERLOADED:
            status = operator_answers.OVERLOADED
            return self._answer(call_id, status, str(action.result))
        return self._answer(call_id, operator_answers.REFUSED, str(action.result))

    def _answer_read(self, action: read_result.ReadResult) -> Actions:
        call_id = self._reads.pop(action.read_id, None)
        if call_id is None:
            return []
        body = operator_answers.table_answer(
            self._catalog.table,
            is_current=action.current,
            leader=self._raft.leader,
            term=self._raft.term,
            members=self._raft.members,
        )
        return [answer_operator.AnswerOperator(call_id, body)]

    def _to_peer(self, action: send.Send) -> send_peer.SendPeer:
        message = envelope.Envelope(
            self._raft.identity, self._own_address, action.peer, action.message
        )
        body = envelope_codec.encode(message)
        return send_peer.SendPeer(action.address, kind.Kind.CONSENSUS, body)

    def _drop(self, reason: reason.Reason) -> Actions:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1
        return []


def _to_node(
    source: address.Address, received: frame.Frame, message: message_codec.Message
) -> send_frame.SendFrame:
    body = message_codec.encode(message)
    return send_frame.SendFrame(source, received.incarnation, kind.Kind.MESSAGE, body)
