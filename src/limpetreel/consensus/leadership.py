"""Leading one term."""

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
    """The part of the leader of one term.

    Parameters
    ----------
    state : NodeState
        State of the instance, which has just won the election of its term.
    now : float
        Monotonic time in seconds.
    policy : MembershipPolicy
        Which members join and are replaced.
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
        # Entries of earlier terms are accepted only together with one of this term.
        self._append(((entry_kind.EntryKind.NOOP, b""),))
        self._start_round(now)

    @property
    def is_removed(self) -> bool:
        """Return whether the leader has removed itself from the voters."""
        state = self._state
        return not state.is_voter() and state.members_index <= state.commit

    def has_quorum_contact(self, now: float) -> bool:
        """Return whether a quorum answered within the lease."""
        last = max(self._started_at, self._rounds.confirmed_start)
        return now - last <= timing.LEASE_SECONDS

    def lease_remaining(self, now: float) -> float:
        """Return the seconds left of the leader's lease.

        A lease vouches for everything accepted before its round. A new leader knows
        all of that only once an entry of its own term is accepted.
        """
        if not self._has_committed_in_term():
            return 0.0
        return max(0.0, self._rounds.lease_end() - now)

    def tick(self, now: float) -> None:
        """Start a heartbeat round if one is due or a read waits for it."""
        due = self._rounds.started_at() + timing.HEARTBEAT_SECONDS
        waiting = any(number > self._rounds.current for _, number in self._reads)
        if now >= due or waiting:
            self._start_round(now)
        self._apply_policy(now)

    def propose(self, now: float, event: propose.Propose) -> None:
        """Append proposals and send them."""
        state = self._state
        waiting = state.log.last_index - state.commit
        if waiting + len(event.proposals) > timing.MAX_UNCOMMITTED:
            for item in event.proposals:
                self._reject_proposal(item.proposal_id, reason.Reason.OVERLOADED)
            return
        first = state.log.last_index + 1
        for i, item in enumerate(event.proposals):
            self._proposals[first + i] = item.proposal_id
        kind = entry_kind.EntryKind.DATA
        self._append(tuple((kind, p.data) for p in event.proposals))
        self._send_new_entries(now)
        self._update_commit()

    def change_members(
        self, now: float, event: change_membership.ChangeMembership
    ) -> None:
        """Append a membership change."""
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
        """Add an instance that lost its disk as a member without a vote."""
        state = self._state
        admits = self._policy.admits(
            state.members, message.name, message.incarnation, message.address
        )
        if not admits or not self._may_change_members():
            return
        new = member.Member(
            message.name, message.incarnation, message.address, voting=False
        )
        self._append_members(now, (*state.members, new))

    def read(self, read_id: int) -> None:
        """Answer a read after a round that starts after it."""
        self._reads.append((read_id, self._rounds.current + 1))

    def on_append_reply(
        self, now: float, sender: str, message: append_reply.AppendReply
    ) -> None:
        """Take an answer to a heartbeat."""
        peer = self._record_reply(now, sender, message.round)
        if peer is None:
            return
        peer_progress = self._progress_of(sender)
        peer_progress.record_stamp(now, message.stamp)
        if message.success:
            peer_progress.record_match(message.index)
        else:
            peer_progress.record_rejection(message.index, self._retry_index(message))
        if (
            peer_progress.snapshot is not None
            and peer_progress.match_index >= peer_progress.snapshot.index
        ):
            peer_progress.end_snapshot()
        if (
            peer_progress.snapshot is None
            and peer_progress.next_index <= self._state.log.last_index
        ):
            self._send(now, peer)
        self._update_commit()

    def on_snapshot_reply(
        self, now: float, sender: str, message: snapshot_reply.SnapshotReply
    ) -> None:
        """Take an answer to a part of a snapshot."""
        peer = self._record_reply(now, sender, message.round)
        peer_progress = self._progress_of(sender)
        if peer is None or peer_progress.snapshot is None:
            return
        if (
            message.index == peer_progress.snapshot.index
            and message.offset != peer_progress.offset
        ):
            peer_progress.offset = message.offset
            self._send(now, peer)
        self._update_commit()

    def find_successor(self) -> member.Member | None:
        """Return a voter that holds the whole log, None if there is none."""
        state = self._state
        last = state.log.last_index
        for peer in state.peers():
            peer_progress = self._progress.get(peer.identity)
            if (
                peer.voting
                and peer_progress is not None
                and peer_progress.match_index == last
            ):
                return peer
        return None

    def fail_pending(self) -> None:
        """Answer what waits, since this instance no longer leads."""
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
        # Two changes under way at once could have majorities that do not overlap,
        # and so could a change of an earlier leader that is not known to be accepted.
        return (
            self._has_committed_in_term()
            and self._state.members_index <= self._state.commit
        )

    def _reject_proposal(self, proposal_id: int, why: reason.Reason) -> None:
        refused = failure.Failure(why, "consensus.propose")
        result = proposal_result.ProposalResult(proposal_id, refused)
        self._state.actions.append(result)

    def _append(self, items: tuple[tuple[entry_kind.EntryKind, bytes], ...]) -> None:
        state = self._state
        first = state.log.last_index + 1
        entries = tuple(
            entry.Entry(first + i, state.term, kind, data)
            for i, (kind, data) in enumerate(items)
        )
        if entries:
            state.append(entries)

    def _append_members(self, now: float, members: membership.Members) -> None:
        data = membership.encode(members)
        self._append(((entry_kind.EntryKind.MEMBERS, data),))
        current = {m.identity for m in members}
        for gone in [p for p in self._progress if p not in current]:
            del self._progress[gone]
        self._send_new_entries(now)
        self._update_commit()

    def _apply_policy(self, now: float) -> None:
        """Let a caught-up member replace the lost one of its name, step by step."""
        state = self._state
        if not self._may_change_members():
            return
        caught_up = {
            identity
            for identity, peer_progress in self._progress.items()
            if peer_progress.match_index >= state.commit
        }
        silent = {
            m.identity: now
            - max(self._started_at, self._progress_of(m.identity).last_reply_at)
            for m in state.peers()
        }
        changed = self._policy.next_change(state.members, caught_up, silent)
        if changed is not None:
            self._append_members(now, changed)

    def _progress_of(self, identity: str) -> progress.Progress:
        peer_progress = self._progress.get(identity)
        if peer_progress is None:
            peer_progress = progress.Progress(self._state.log.last_index + 1)
            self._progress[identity] = peer_progress
        return peer_progress

    def _record_reply(
        self, now: float, sender: str, number: int
    ) -> member.Member | None:
        peer = membership.find(self._state.members, sender)
        if peer is not None:
            self._rounds.record_reply(sender, number)
            self._progress_of(sender).last_reply_at = now
        return peer

    def _retry_index(self, message: append_reply.AppendReply) -> int:
        """Return where to try again, passing over a whole term at a time."""
        log = self._state.log
        if not message.hint_term:
            return message.hint
        agreed = log.last_index_up_to_term(message.index - 1, message.hint_term)
        if agreed >= message.hint and log.term_at(agreed) == message.hint_term:
            return agreed + 1
        return message.hint

    def _start_round(self, now: float) -> None:
        self._rounds.start(now)
        for peer in self._state.peers():
            self._send(now, peer)
        self._update_commit()

    def _send_new_entries(self, now: float) -> None:
        for peer in self._state.peers():
            peer_progress = self._progress_of(peer.identity)
            if peer_progress.snapshot is None and self._has_pipeline_capacity(
                peer_progress
            ):
                self._send(now, peer)

    def _has_pipeline_capacity(self, peer_progress: progress.Progress) -> bool:
        return (
            peer_progress.next_index - peer_progress.match_index
            <= timing.PIPELINE_ENTRIES
        )

    def _send(self, now: float, peer: member.Member) -> None:
        peer_progress = self._progress_of(peer.identity)
        if (
            peer_progress.snapshot is None
            and peer_progress.next_index <= self._state.log.base_index
        ):
            peer_progress.begin_snapshot(self._state.snapshot)
        if peer_progress.snapshot is not None:
            self._send_chunk(peer, peer_progress)
        else:
            self._send_entries(now, peer, peer_progress)

    def _send_chunk(
        self, peer: member.Member, peer_progress: progress.Progress
    ) -> None:
        item = peer_progress.snapshot
        if item is None:
            return
        end = peer_progress.offset + timing.CHUNK_BYTES
        chunk = snapshot_chunk.SnapshotChunk(
            self._state.term,
            item.index,
            item.term,
            item.members,
            peer_progress.offset,
            len(item.data),
            item.data[peer_progress.offset : end],
            self._rounds.current,
        )
        self._state.send(peer, chunk)

    def _send_entries(
        self, now: float, peer: member.Member, peer_progress: progress.Progress
    ) -> None:
        state = self._state
        prev = peer_progress.next_index - 1
        entries: tuple[entry.Entry, ...] = ()
        if self._has_pipeline_capacity(peer_progress):
            entries = state.log.batch(peer_progress.next_index, timing.BATCH_BYTES)
        has_lease = peer_progress.stamp is not None and self.lease_remaining(now) > 0
        request = append_request.AppendRequest(
            state.term,
            prev,
            state.log.term_at(prev) or 0,
            entries,
            state.commit,
            self._rounds.current,
            peer_progress.stamp if has_lease else None,
            self._rounds.lease_end() - peer_progress.stamp_received_at
            if has_lease
            else 0.0,
        )
        peer_progress.next_index += len(entries)
        state.send(peer, request)

    def _update_commit(self) -> None:
        """Accept what a quorum holds and answer reads that a quorum confirmed."""
        state = self._state
        self._rounds.update_confirmed(state.members)
        match_indexes = {
            identity: peer_progress.match_index
            for identity, peer_progress in self._progress.items()
        }
        match_indexes[state.identity] = state.log.last_index
        quorum_index = membership.quorum_value(state.members, match_indexes)
        # An entry of an earlier term on a majority can still be replaced by a later
        # leader, so only entries of the own term are accepted by counting.
        if state.log.term_at(quorum_index) == state.term:
            for item in state.advance_commit(quorum_index):
                self._complete_proposal(item)
        self._complete_reads()

    def _complete_proposal(self, item: entry.Entry) -> None:
        proposal_id = self._proposals.pop(item.index, None)
        if proposal_id is not None:
            result = proposal_result.ProposalResult(proposal_id, item.index)
            self._state.actions.append(result)

    def _complete_reads(self) -> None:
        if not self._has_committed_in_term():
            return
        confirmed = self._rounds.confirmed
        for read_id, number in self._reads:
            if number <= confirmed:
                current = read_result.ReadResult(read_id, self._state.commit, True)
                self._state.actions.append(current)
        self._reads = [r for r in self._reads if r[1] > confirmed]
