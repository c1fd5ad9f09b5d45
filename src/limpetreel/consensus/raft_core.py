"""Raft core: events in, actions out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel import exceptions
from limpetreel.consensus import (
    election,
    follower,
    leadership,
    membership,
    node_state,
    operator_managed_membership,
    role,
    timing,
)
from limpetreel.consensus.actions import proposal_result, read_result, send
from limpetreel.consensus.events import (
    change_membership,
    message_received,
    propose,
    read,
    resign,
    snapshot_available,
    tick,
)
from limpetreel.consensus.messages import (
    append_reply,
    append_request,
    elect_now,
    join_request,
    pre_vote_reply,
    pre_vote_request,
    snapshot_chunk,
    snapshot_reply,
    vote_reply,
    vote_request,
)
from limpetreel.core import core, failure, reason

if TYPE_CHECKING:
    import random as randoms
    from collections.abc import Sequence

    import msgspec

    from limpetreel.consensus import durable_state, membership_policy, snapshot
    from limpetreel.consensus.messages import envelope


class RaftCore(core.Core):
    """Raft state machine of one control instance.

    Events are the types in `consensus.events`, actions those in
    `consensus.actions`. The shell carries out the actions in order and completes
    `Persist` and `SaveSnapshot` before the next one; if one fails, the instance
    stops.

    Parameters
    ----------
    durable : DurableState
        State recovered by `storage.log_store.LogStore`.
    random : random.Random
        Source of election timeouts.
    address : str
        Address of this instance for its peers.
    seeds : sequence of str
        Addresses, besides those of the members, to which this instance sends join
        requests.
    policy : MembershipPolicy or None
        Which members are added and replaced without an operator; defaults to
        `OperatorManagedMembership`.
    trailing_entries : int or None
        Log entries up to the snapshot index that stay in memory; None for
        `timing.TRAILING_ENTRIES`.
    is_durable : bool
        Whether the log is on a disk that a loss of power does not erase.
    """

    def __init__(
        self,
        durable: durable_state.DurableState,
        random: randoms.Random,
        address: str,
        seeds: Sequence[str] = (),
        policy: membership_policy.MembershipPolicy | None = None,
        trailing_entries: int | None = None,
        is_durable: bool = True,
    ) -> None:
        self._is_durable = is_durable
        if trailing_entries is None:
            trailing_entries = timing.TRAILING_ENTRIES
        self._state = node_state.NodeState(durable, random, trailing_entries)
        self._address = address
        self._seeds = tuple(seeds)
        self._policy = policy or operator_managed_membership.OperatorManagedMembership()
        self._state.has_short_timeouts = self._policy.has_short_first_timeout
        self._election = election.Election(self._state)
        self._follower = follower.Follower(self._state)
        self._leadership: leadership.Leadership | None = None
        self._next_join_at = float("-inf")

    @property
    def identity(self) -> str:
        """Return the identity under which this instance votes."""
        return self._state.identity

    @property
    def role(self) -> role.Role:
        """Return the current role."""
        return self._state.role

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._state.term

    @property
    def leader(self) -> str:
        """Return the identity of the leader, empty if unknown."""
        return self._state.leader

    @property
    def commit(self) -> int:
        """Return the commit index; all entries up to it have been applied."""
        return self._state.commit

    @property
    def snapshot(self) -> snapshot.Snapshot:
        """Return the latest snapshot; after a start, the one recovered from disk."""
        return self._state.snapshot

    @property
    def members(self) -> membership.Members:
        """Return the members in effect."""
        return self._state.members

    def lease_remaining(self, now: float) -> float:
        """Return for how many more seconds this instance may grant leases.

        The applied state of this instance includes every entry that was committed
        more than ``2.0 - lease_remaining(now)`` seconds ago.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        if self._leadership is not None:
            return self._leadership.lease_remaining(now)
        if self._state.role is role.Role.FOLLOWER:
            return self._follower.lease_remaining(now)
        return 0.0

    def handle(self, now: float, event: msgspec.Struct) -> list[msgspec.Struct]:
        """Process one event and return the resulting actions in order."""
        state = self._state
        state.actions = []
        if state.election_deadline == float("inf"):
            self._start_first_election_timer(now)
        self._dispatch(now, event)
        if self._leadership is not None and self._leadership.is_removed:
            self._become_follower(now, "")
        return state.actions

    def _start_first_election_timer(self, now: float) -> None:
        if self._policy.has_short_first_timeout:
            # Pre-votes prevent an early election from deposing a leader.
            self._state.election_deadline = now
        else:
            self._state.reset_election_timer(now)

    def _dispatch(self, now: float, event: msgspec.Struct) -> None:
        match event:
            case tick.Tick():
                self._tick(now)
            case message_received.MessageReceived():
                self._receive(now, event.envelope)
            case propose.Propose():
                self._propose(now, event)
            case change_membership.ChangeMembership():
                self._change_members(now, event)
            case read.Read():
                self._read(event)
            case resign.Resign():
                self._resign(now)
            case snapshot_available.SnapshotAvailable():
                self._state.take_snapshot(event.index, event.data)
            case _:
                raise exceptions.ConsensusError(
                    "consensus.handle", f"unknown event {type(event).__name__}"
                )

    def _tick(self, now: float) -> None:
        state = self._state
        if self._leadership is not None:
            if self._leadership.has_quorum_contact(now):
                self._leadership.tick(now)
            else:
                self._become_follower(now, "")
            return
        # A voter that was replaced while it was unreachable gets no message about
        # it, since it is no longer a peer of any leader.
        if not state.is_voter() or self._policy.may_replace_absent_voters:
            self._request_to_join(now)
        if not state.is_voter():
            return
        if now >= state.election_deadline and self._election.start_pre_vote(now):
            self._become_leader(now)

    def _request_to_join(self, now: float) -> None:
        state = self._state
        # An instance that has been added may have to ask again: a later leader
        # that does not have the entry that added it can overwrite that entry.
        seconds_since_contact = now - state.last_leader_contact
        timeout = timing.JOIN_RETRY_SECONDS
        if state.is_voter():
            timeout = timing.REJOIN_SECONDS
        known = membership.find(state.members, state.identity)
        is_described = known is None or known.is_durable == self._is_durable
        if is_described and seconds_since_contact < timeout:
            return
        if now < self._next_join_at:
            return
        self._next_join_at = now + timing.JOIN_RETRY_SECONDS
        request = join_request.JoinRequest(
            state.name, state.incarnation, self._address, self._is_durable
        )
        members = {m.address for m in state.members}
        for address in sorted({*self._seeds, *members} - {self._address}):
            state.actions.append(send.Send("", address, request))

    def change_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the addresses to which join requests are sent."""
        self._seeds = tuple(seeds)

    def _forward_join_request(self, message: join_request.JoinRequest) -> None:
        """Forward a join request to the leader, whom the sender may not know."""
        leader = membership.find(self._state.members, self._state.leader)
        if leader is not None and self._policy.may_replace_absent_voters:
            self._state.send(leader, message)

    def _propose(self, now: float, event: propose.Propose) -> None:
        if self._leadership is not None:
            self._leadership.propose(now, event)
            return
        for proposal in event.proposals:
            self._reject_proposal(proposal.proposal_id)

    def _change_members(
        self, now: float, event: change_membership.ChangeMembership
    ) -> None:
        if self._leadership is not None:
            self._leadership.change_members(now, event)
        else:
            self._reject_proposal(event.proposal_id)

    def _reject_proposal(self, proposal_id: int) -> None:
        not_leader = failure.Failure(
            reason.Reason.NOT_LEADER, "consensus.propose", self._state.leader
        )
        result = proposal_result.ProposalResult(proposal_id, not_leader)
        self._state.actions.append(result)

    def _read(self, event: read.Read) -> None:
        if self._leadership is not None:
            self._leadership.read(event.read_id)
            return
        stale = read_result.ReadResult(event.read_id, self._state.commit, False)
        self._state.actions.append(stale)

    def _become_leader(self, now: float) -> None:
        self._leadership = leadership.Leadership(self._state, now, self._policy)

    def _become_follower(self, now: float, leader: str) -> None:
        if self._leadership is not None:
            self._leadership.fail_pending()
            self._leadership = None
        self._state.reset_election_timer(now)
        self._state.change_role(role.Role.FOLLOWER, leader)

    def _resign(self, now: float) -> None:
        if self._leadership is None:
            return
        peer = self._leadership.find_successor()
        if peer is not None:
            self._state.send(peer, elect_now.ElectNow(self._state.term))
        self._become_follower(now, "")

    def _receive(self, now: float, received: envelope.Envelope) -> None:
        message = received.message
        if received.target not in ("", self._state.identity):
            return
        if isinstance(message, join_request.JoinRequest):
            if self._leadership is not None:
                self._leadership.on_join_request(now, message)
            else:
                self._forward_join_request(message)
            return
        if isinstance(message, pre_vote_request.PreVoteRequest):
            # A pre-vote carries a term that has not started, so it must not raise
            # the current term.
            if self._election.on_pre_vote_request(now, received, message):
                self._become_leader(now)
            return
        if message.term > self._state.term:
            self._state.enter_term(message.term)
            self._become_follower(now, "")
        self._receive_in_term(now, received)

    def _receive_in_term(self, now: float, received: envelope.Envelope) -> None:
        message = received.message
        match message:
            case pre_vote_reply.PreVoteReply():
                if self._election.on_pre_vote_reply(now, received, message):
                    self._become_leader(now)
            case elect_now.ElectNow():
                self._on_elect_now(now, message)
            case vote_request.VoteRequest():
                self._election.on_vote_request(now, received, message)
            case vote_reply.VoteReply():
                if self._election.on_vote_reply(received, message):
                    self._become_leader(now)
            case append_request.AppendRequest() | snapshot_chunk.SnapshotChunk():
                self._receive_from_leader(now, received, message)
            case append_reply.AppendReply():
                if self._leadership is not None and message.term == self._state.term:
                    self._leadership.on_append_reply(now, received.sender, message)
            case snapshot_reply.SnapshotReply():
                if self._leadership is not None and message.term == self._state.term:
                    self._leadership.on_snapshot_reply(now, received.sender, message)

    def _on_elect_now(self, now: float, message: elect_now.ElectNow) -> None:
        """Start an election without a pre-vote, since the leader has resigned."""
        state = self._state
        is_valid = message.term == state.term and state.role is role.Role.FOLLOWER
        if is_valid and state.is_voter() and self._election.campaign(now):
            self._become_leader(now)

    def _receive_from_leader(
        self,
        now: float,
        received: envelope.Envelope,
        message: append_request.AppendRequest | snapshot_chunk.SnapshotChunk,
    ) -> None:
        state = self._state
        stamp = state.make_stamp(now)
        if message.term < state.term:
            # The sender led an earlier term and learns the current one.
            rejection = append_reply.AppendReply(state.term, False, 0, 0, 0, 0, stamp)
            state.reply(received, rejection)
        elif isinstance(message, append_request.AppendRequest):
            self._follower.on_append(now, received, message)
        else:
            self._follower.on_chunk(now, received, message)
