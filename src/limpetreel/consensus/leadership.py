"""Leader side of the protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.consensus import (
    entry,
    entry_kind,
    member,
    membership,
    membership_changes,
    progress,
    quorum_rounds,
    role,
    timing,
)
from limpetreel.consensus.actions import proposal_result, read_result
from limpetreel.consensus.messages import append_request, snapshot_chunk
from limpetreel.core import failure, reason

if TYPE_CHECKING:
    from limpetreel.consensus import membership_policy, node_state
    from limpetreel.consensus.events import change_membership, propose
    from limpetreel.consensus.messages import (
        append_reply,
        join_request,
        snapshot_reply,
    )


class Leadership:
    """Replication, leases and membership changes by the leader of one term.

    Parameters
    ----------
    state : NodeState
        State of the instance, which has just won the election of its term.
    now : float
        Monotonic time in seconds.
    policy : MembershipPolicy
        Which members are added and replaced without an operator.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        now: float,
        policy: membership_policy.MembershipPolicy,
    ) -> None:
        self._state = state
        self._policy = policy
        self._rounds = quorum_rounds.QuorumRounds(state.identity)
        self._progress: dict[str, progress.Progress] = {}
        self._proposals: dict[int, int] = {}
        self._reads: list[tuple[int, int]] = []
        self._started_at = now
        self._first_index_of_term = state.log.last_index + 1
        state.change_role(role.Role.LEADER, state.identity)
        # Entries of earlier terms are committed only together with one of this term.
        self._append(((entry_kind.EntryKind.NOOP, b""),))
        self._start_round(now)

    @property
    def is_removed(self) -> bool:
        """Return whether the removal of this leader from the voters is committed."""
        state = self._state
        return not state.is_voter() and state.members_index <= state.commit

    def has_quorum_contact(self, now: float) -> bool:
        """Return whether a quorum has replied within the duration of a lease."""
        last = max(self._started_at, self._rounds.confirmed_start)
        return now - last <= timing.LEASE_SECONDS

    def lease_remaining(self, now: float) -> float:
        """Return the seconds left of the leader's lease.

        A lease guarantees that the leader has applied every entry committed before
        the round of the lease. For a new leader that holds only once an entry of its
        own term is committed.
        """
        if not self._has_committed_in_term():
            return 0.0
        return max(0.0, self._rounds.lease_end() - now)

    def tick(self, now: float) -> None:
        """Start a heartbeat round if one is due or a pending read needs it."""
        due_at = self._rounds.started_at() + timing.HEARTBEAT_SECONDS
        has_pending_read = any(
            round_number > self._rounds.current for _, round_number in self._reads
        )
        if now >= due_at or has_pending_read:
            self._start_round(now)
        self._apply_policy(now)

    def propose(self, now: float, event: propose.Propose) -> None:
        """Append proposals and replicate them."""
        state = self._state
        uncommitted = state.log.last_index - state.commit
        if uncommitted + len(event.proposals) > timing.MAX_UNCOMMITTED:
            for proposal in event.proposals:
                self._reject_proposal(proposal.proposal_id, reason.Reason.OVERLOADED)
            return
        first = state.log.last_index + 1
        for i, proposal in enumerate(event.proposals):
            self._proposals[first + i] = proposal.proposal_id
        kind = entry_kind.EntryKind.DATA
        self._append(tuple((kind, p.data) for p in event.proposals))
        self._send_new_entries(now)
        self._update_commit()

    def change_members(
        self, now: float, event: change_membership.ChangeMembership
    ) -> None:
        """Append a membership change that an operator requested."""
        if not self._may_change_members():
            self._reject_proposal(event.proposal_id, reason.Reason.CONFLICT)
            return
        members = self._state.members
        changed = membership_changes.apply_change(members, event.change, event.member)
        if isinstance(changed, reason.Reason):
            self._reject_proposal(event.proposal_id, changed)
            return
        self._proposals[self._state.log.last_index + 1] = event.proposal_id
        self._append_members(now, changed)

    def on_join_request(self, now: float, message: join_request.JoinRequest) -> None:
        """Add the sender as a non-voting member if the policy admits it.

        A member that is described wrongly, as a founder without a disk, is corrected.
        """
        state = self._state
        identity = member.identity_of(message.name, message.incarnation)
        known = membership.find(state.members, identity)
        if known is not None and known.is_durable != message.is_durable:
            if self._may_change_members():
                members = membership.corrected(
                    state.members, identity, message.is_durable
                )
                self._append_members(now, members)
            return
        admits = self._policy.admits(
            state.members, message.name, message.incarnation, message.address
        )
        if not admits or not self._may_change_members():
            return
        new = member.Member(
            message.name,
            message.incarnation,
            message.address,
            voting=False,
            is_durable=message.is_durable,
        )
        self._append_members(now, (*state.members, new))

    def read(self, read_id: int) -> None:
        """Register a read, to be answered once a later heartbeat round is confirmed."""
        self._reads.append((read_id, self._rounds.current + 1))

    def on_append_reply(
        self, now: float, sender: str, message: append_reply.AppendReply
    ) -> None:
        """Process the reply to an `AppendRequest`."""
        peer = self._record_reply(now, sender, message.round)
        if peer is None:
            return
        replica = self._progress_of(sender)
        replica.record_stamp(now, message.stamp)
        if message.success:
            replica.record_match(message.index)
        else:
            replica.record_rejection(message.index, self._retry_index(message))
        if (
            replica.snapshot is not None
            and replica.match_index >= replica.snapshot.index
        ):
            replica.end_snapshot()
        if (
            replica.snapshot is None
            and replica.next_index <= self._state.log.last_index
        ):
            self._send(now, peer)
        commit = self._state.commit
        self._update_commit()
        if self._state.commit > commit:
            # Followers apply the entries now, not with the next heartbeat.
            self._start_round(now)

    def on_snapshot_reply(
        self, now: float, sender: str, message: snapshot_reply.SnapshotReply
    ) -> None:
        """Process the reply to a `SnapshotChunk`."""
        peer = self._record_reply(now, sender, message.round)
        replica = self._progress_of(sender)
        if peer is None or replica.snapshot is None:
            return
        if message.index == replica.snapshot.index and message.offset != replica.offset:
            replica.offset = message.offset
            self._send(now, peer)
        self._update_commit()

    def find_successor(self) -> member.Member | None:
        """Return a voter that has the whole log, None if there is none."""
        state = self._state
        last = state.log.last_index
        for peer in state.peers():
            replica = self._progress.get(peer.identity)
            if peer.voting and replica is not None and replica.match_index == last:
                return peer
        return None

    def fail_pending(self) -> None:
        """Answer pending proposals and reads after the loss of the leadership."""
        unknown = failure.Failure(
            reason.Reason.TIMEOUT,
            "consensus.commit",
            detail="leadership ended first; the outcome is unknown",
        )
        actions = self._state.actions
        for proposal_id in self._proposals.values():
            actions.append(proposal_result.ProposalResult(proposal_id, unknown))
        for read_id, _ in self._reads:
            stale = read_result.ReadResult(read_id, self._state.commit, False)
            actions.append(stale)

    def _has_committed_in_term(self) -> bool:
        return self._state.commit >= self._first_index_of_term

    def _may_change_members(self) -> bool:
        # Two uncommitted changes could have majorities that do not overlap, and so
        # could a change of an earlier leader that is not known to be committed.
        return (
            self._has_committed_in_term()
            and self._state.members_index <= self._state.commit
        )

    def _reject_proposal(
        self, proposal_id: int, rejection_reason: reason.Reason
    ) -> None:
        rejection = failure.Failure(rejection_reason, "consensus.propose")
        result = proposal_result.ProposalResult(proposal_id, rejection)
        self._state.actions.append(result)

    def _append(self, payloads: tuple[tuple[entry_kind.EntryKind, bytes], ...]) -> None:
        state = self._state
        first = state.log.last_index + 1
        entries = tuple(
            entry.Entry(first + i, state.term, kind, data)
            for i, (kind, data) in enumerate(payloads)
        )
        if entries:
            state.append(entries)

    def _append_members(self, now: float, members: membership.Members) -> None:
        data = membership.encode(members)
        self._append(((entry_kind.EntryKind.MEMBERS, data),))
        current = {m.identity for m in members}
        for removed in [p for p in self._progress if p not in current]:
            del self._progress[removed]
        self._send_new_entries(now)
        self._update_commit()

    def _apply_policy(self, now: float) -> None:
        """Append the next membership change that the policy asks for, if any."""
        state = self._state
        if not self._may_change_members():
            return
        caught_up = {
            identity
            for identity, replica in self._progress.items()
            if replica.match_index >= state.commit
        }
        seconds_since_reply = {
            m.identity: now
            - max(self._started_at, self._progress_of(m.identity).last_reply_at)
            for m in state.peers()
        }
        changed = self._policy.next_change(
            state.members, caught_up, seconds_since_reply
        )
        if changed is not None:
            self._append_members(now, changed)

    def _progress_of(self, identity: str) -> progress.Progress:
        replica = self._progress.get(identity)
        if replica is None:
            replica = progress.Progress(self._state.log.last_index + 1)
            self._progress[identity] = replica
        return replica

    def _record_reply(
        self, now: float, sender: str, round_number: int
    ) -> member.Member | None:
        peer = membership.find(self._state.members, sender)
        if peer is not None:
            self._rounds.record_reply(sender, round_number)
            self._progress_of(sender).last_reply_at = now
        return peer

    def _retry_index(self, message: append_reply.AppendReply) -> int:
        """Return the next index to try, skipping a whole conflicting term at a time."""
        log = self._state.log
        if not message.hint_term:
            return message.hint
        last = log.last_index_up_to_term(message.index - 1, message.hint_term)
        if last >= message.hint and log.term_at(last) == message.hint_term:
            return last + 1
        return message.hint

    def _start_round(self, now: float) -> None:
        self._rounds.start(now)
        for peer in self._state.peers():
            self._send(now, peer)
        self._update_commit()

    def _send_new_entries(self, now: float) -> None:
        for peer in self._state.peers():
            replica = self._progress_of(peer.identity)
            if replica.snapshot is None and self._has_pipeline_capacity(replica):
                self._send(now, peer)

    def _has_pipeline_capacity(self, replica: progress.Progress) -> bool:
        return replica.next_index - replica.match_index <= timing.PIPELINE_ENTRIES

    def _send(self, now: float, peer: member.Member) -> None:
        replica = self._progress_of(peer.identity)
        if (
            replica.snapshot is None
            and replica.next_index <= self._state.log.base_index
        ):
            replica.begin_snapshot(self._state.snapshot)
        if replica.snapshot is not None:
            self._send_chunk(peer, replica)
        else:
            self._send_entries(now, peer, replica)

    def _send_chunk(self, peer: member.Member, replica: progress.Progress) -> None:
        snapshot = replica.snapshot
        if snapshot is None:
            return
        end = replica.offset + timing.CHUNK_BYTES
        chunk = snapshot_chunk.SnapshotChunk(
            self._state.term,
            snapshot.index,
            snapshot.term,
            snapshot.members,
            replica.offset,
            len(snapshot.data),
            snapshot.data[replica.offset : end],
            self._rounds.current,
        )
        self._state.send(peer, chunk)

    def _send_entries(
        self, now: float, peer: member.Member, replica: progress.Progress
    ) -> None:
        state = self._state
        prev = replica.next_index - 1
        entries: tuple[entry.Entry, ...] = ()
        if self._has_pipeline_capacity(replica):
            entries = state.log.batch(replica.next_index, timing.BATCH_BYTES)
        has_lease = replica.stamp is not None and self.lease_remaining(now) > 0
        request = append_request.AppendRequest(
            state.term,
            prev,
            state.log.term_at(prev) or 0,
            entries,
            state.commit,
            self._rounds.current,
            replica.stamp if has_lease else None,
            self._rounds.lease_end() - replica.stamp_received_at if has_lease else 0.0,
        )
        replica.next_index += len(entries)
        state.send(peer, request)

    def _update_commit(self) -> None:
        """Commit entries that a quorum has and answer reads that a quorum confirmed."""
        state = self._state
        self._rounds.update_confirmed(state.members)
        match_indexes = {
            identity: replica.match_index
            for identity, replica in self._progress.items()
        }
        match_indexes[state.identity] = state.log.last_index
        quorum_index = membership.quorum_value(state.members, match_indexes)
        # A later leader can still overwrite an entry of an earlier term that is on a
        # majority, so only entries of the current term are committed by counting.
        if state.log.term_at(quorum_index) == state.term:
            for committed in state.advance_commit(quorum_index):
                self._complete_proposal(committed)
        self._complete_reads()

    def _complete_proposal(self, committed: entry.Entry) -> None:
        proposal_id = self._proposals.pop(committed.index, None)
        if proposal_id is not None:
            result = proposal_result.ProposalResult(proposal_id, committed.index)
            self._state.actions.append(result)

    def _complete_reads(self) -> None:
        if not self._has_committed_in_term():
            return
        confirmed = self._rounds.confirmed
        for read_id, round_number in self._reads:
            if round_number <= confirmed:
                current = read_result.ReadResult(read_id, self._state.commit, True)
                self._state.actions.append(current)
        self._reads = [r for r in self._reads if r[1] > confirmed]
