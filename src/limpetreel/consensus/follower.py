"""Follower side of log replication."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel import exceptions
from limpetreel.consensus import role, snapshot
from limpetreel.consensus.actions import install_snapshot
from limpetreel.consensus.messages import append_reply, snapshot_reply

if TYPE_CHECKING:
    from limpetreel.consensus import node_state
    from limpetreel.consensus.messages import (
        append_request,
        envelope,
        snapshot_chunk,
    )


class Follower:
    """Log, snapshots and lease received from the leader.

    Parameters
    ----------
    state : NodeState
        State of the instance.
    """

    def __init__(self, state: node_state.NodeState) -> None:
        self._state = state
        self._lease_term = 0
        self._lease_end = float("-inf")
        self._snapshot_buffer = bytearray()
        self._snapshot_source: tuple[str, int, int] = ("", 0, 0)

    def lease_remaining(self, now: float) -> float:
        """Return the seconds left of the lease received from the leader."""
        # A lease from the leader of an earlier term is no longer valid.
        if self._lease_term != self._state.term:
            return 0.0
        return max(0.0, self._lease_end - now)

    def on_append(
        self,
        now: float,
        request: envelope.Envelope,
        message: append_request.AppendRequest,
    ) -> None:
        """Process an append request from the current term's leader."""
        self._record_leader_contact(now, request)
        hint, hint_term = self._find_conflict(message)
        if hint:
            rejection = self._make_reply(
                now, False, message.prev_index, message.round, hint, hint_term
            )
            self._state.reply(request, rejection)
            return
        self._append_new(message)
        match_index = message.prev_index + len(message.entries)
        self._state.advance_commit(min(message.commit, match_index))
        self._renew_lease(message)
        self._state.reply(
            request, self._make_reply(now, True, match_index, message.round)
        )

    def on_chunk(
        self,
        now: float,
        request: envelope.Envelope,
        message: snapshot_chunk.SnapshotChunk,
    ) -> None:
        """Process a snapshot chunk from the current term's leader."""
        self._record_leader_contact(now, request)
        state = self._state
        if message.index > state.commit and not self._add_chunk(
            request.sender, message
        ):
            answer = snapshot_reply.SnapshotReply(
                state.term, message.index, len(self._snapshot_buffer), message.round
            )
            state.reply(request, answer)
            return
        if message.index > state.commit:
            self._install(message)
        state.reply(request, self._make_reply(now, True, message.index, message.round))

    def _record_leader_contact(self, now: float, request: envelope.Envelope) -> None:
        state = self._state
        if state.role is role.Role.LEADER:
            raise exceptions.ConsensusError(
                "consensus.follow",
                f"two leaders in term {state.term}",
                peer=request.sender,
            )
        state.last_leader_contact = now
        state.reset_election_timer(now)
        if state.role is not role.Role.FOLLOWER or state.leader != request.sender:
            state.change_role(role.Role.FOLLOWER, request.sender)

    def _find_conflict(self, message: append_request.AppendRequest) -> tuple[int, int]:
        """Return the hint and the conflicting term; zeros if the logs match."""
        log = self._state.log
        # Entries up to the base index are committed, so every leader has them.
        if message.prev_index <= log.base_index:
            return 0, 0
        term = log.term_at(message.prev_index)
        if term is None:
            return log.last_index + 1, 0
        if term != message.prev_term:
            return log.first_index_of_term(message.prev_index), term
        return 0, 0

    def _append_new(self, message: append_request.AppendRequest) -> None:
        log = self._state.log
        for i, new in enumerate(message.entries):
            if new.index <= log.base_index or log.term_at(new.index) == new.term:
                continue
            self._state.append(message.entries[i:])
            return

    def _renew_lease(self, message: append_request.AppendRequest) -> None:
        state = self._state
        # The holder of a lease must have applied every entry committed before the
        # round of the lease, so the lease is valid only once this instance has
        # applied all entries that the leader had committed.
        if message.echo is None or state.commit < message.commit:
            return
        # The lease counts from this instance's own stamp, which precedes the sending
        # of this message, so a delayed message cannot extend it.
        if not state.is_local_stamp(message.echo):
            return
        end = message.echo.sent_at + message.lease
        if self._lease_term != state.term:
            self._lease_term = state.term
            self._lease_end = end
        self._lease_end = max(self._lease_end, end)

    def _add_chunk(self, sender: str, message: snapshot_chunk.SnapshotChunk) -> bool:
        """Add a chunk to the buffer; return whether the snapshot is complete."""
        # Two leaders may encode the same state as different bytes, so chunks of
        # different senders are not combined.
        source = (sender, message.index, message.size)
        if source != self._snapshot_source:
            self._snapshot_source = source
            self._snapshot_buffer.clear()
        if message.offset == len(self._snapshot_buffer):
            self._snapshot_buffer += message.data
        return len(self._snapshot_buffer) >= message.size

    def _install(self, message: snapshot_chunk.SnapshotChunk) -> None:
        data = bytes(self._snapshot_buffer)
        self._snapshot_buffer = bytearray()
        self._snapshot_source = ("", 0, 0)
        received = snapshot.Snapshot(
            message.index, message.last_term, message.members, data
        )
        self._state.install_snapshot(received)
        action = install_snapshot.InstallSnapshot(message.index, data)
        self._state.actions.append(action)

    def _make_reply(
        self,
        now: float,
        success: bool,
        index: int,
        round_number: int,
        hint: int = 0,
        hint_term: int = 0,
    ) -> append_reply.AppendReply:
        state = self._state
        return append_reply.AppendReply(
            state.term,
            success,
            index,
            hint,
            hint_term,
            round_number,
            state.make_stamp(now),
        )
