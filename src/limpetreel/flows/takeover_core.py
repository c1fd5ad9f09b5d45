"""Takeover and handover of the buckets of one class at one agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limpetreel.catalog import member_state
from limpetreel.flows import bucket_parts, bucket_role, bucket_state, send
from limpetreel.messages import (
    bucket_part,
    directory_ack,
    directory_update,
    handover_reply,
    handover_request,
    held_flow,
)
from limpetreel.requests import lifetime

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limpetreel.flows import (
        class_member,
        class_view,
        flow_directory,
        owned_flows,
    )
    from limpetreel.requests import claim_store

    Peer = tuple[int, int]

RETRY_SECONDS = 0.1
COPY_CHECK_SECONDS = 1.0
MAX_BUCKETS_PER_REQUEST = 256
INCOMPLETE_SECONDS = lifetime.EXCHANGE_SECONDS
"""After this time, no request whose claim was lost can arrive any more."""
KEEP_COPY_SECONDS = lifetime.EXCHANGE_SECONDS
"""Time for which a copy is kept after a handover, in case the new holder is lost."""

_Role = bucket_role.BucketRole


class TakeoverCore:
    """Epochs, fencing and copies of the buckets of one class.

    Parameters
    ----------
    local_peer : tuple of int
        Node id and incarnation of this agent.
    region : str
        Region of this agent.
    first_start : bool
        True if this node is known never to have run before.
    directory, owned, claims
        State that is exported and filled by handovers.
    """

    def __init__(
        self,
        local_peer: Peer,
        region: str,
        first_start: bool,
        directory: flow_directory.FlowDirectory,
        owned: owned_flows.OwnedFlows,
        claims: claim_store.ClaimStore,
    ) -> None:
        self._local_peer = local_peer
        self._region = region
        self._first_start = first_start
        self._directory = directory
        self._owned = owned
        self._claims = claims
        self._states: dict[int, bucket_state.BucketState] = {}
        self._live_members: dict[int, class_member.ClassMember] = {}
        self._next_copy_check = float("-inf")
        self._is_idle = False
        self.view: class_view.ClassView | None = None
        self.routable_buckets: set[int] = set()
        """Buckets whose queued packets can be routed again."""

    def state(self, bucket: int) -> bucket_state.BucketState:
        """Return the state of a bucket."""
        state = self._states.get(bucket)
        if state is None:
            state = self._states[bucket] = bucket_state.BucketState()
        return state

    def is_live(self, peer: Peer) -> bool:
        """Return whether an agent is a current member that is not lost."""
        member = self._live_members.get(peer[0])
        return member is not None and member.incarnation == peer[1]

    def can_serve(self, peer: Peer) -> bool:
        """Return whether an agent may still serve its flows."""
        return self.is_live(peer) and self._live_members[peer[0]].serving

    def accepting_agents(self) -> list[Peer]:
        """Return the agents that may accept new flows."""
        active = member_state.MemberState.ACTIVE
        return [
            (m.node_id, m.incarnation)
            for m in self._live_members.values()
            if m.serving and m.state is active
        ]

    def is_replaced(self, peer: Peer) -> bool:
        """Return whether the table knows a later incarnation of an agent."""
        member = self.view.member(peer[0]) if self.view else None
        return member is not None and member.incarnation > peer[1]

    def primary(self, bucket: int) -> Peer:
        """Return the primary of a bucket according to the table."""
        return self._candidates(bucket)[0]

    def update_view(self, now: float, view: class_view.ClassView) -> list[send.Send]:
        """Apply a view of the table; an older one is ignored."""
        self._is_idle = False
        if self.view is not None and view.revision <= self.view.revision:
            return []
        previous_revision = (
            self.view.revision if self.view is not None else view.revision
        )
        self.view = view
        self._live_members = {
            m.node_id: m
            for m in view.members
            if m.state is not member_state.MemberState.LOST
        }
        local_member = self._live_members.get(self._local_peer[0])
        is_member = self.is_live(self._local_peer)
        has_returned = (
            local_member is not None and local_member.returned > previous_revision
        )
        if not is_member or has_returned:
            # While this agent was lost, others may have taken over its buckets
            # without asking it, even if it never received the table with its loss.
            self._give_up_roles()
            self._owned.restart_ages(now)
        if local_member is not None and is_member and not local_member.serving:
            self._owned.clear()
        if not is_member:
            return []
        for bucket in range(len(view.candidates)):
            self._update_assignment(bucket)
        return self.advance(now)

    def advance(self, now: float) -> list[send.Send]:
        """Send due messages and finish takeovers that have all replies."""
        if self._is_idle:
            return []
        # Only messages and tables change the role of a bucket; until the next one
        # arrives, another scan would find nothing to do either.
        self._is_idle = True
        return self._advance_buckets(now, self._states)

    def _advance_buckets(self, now: float, buckets: Iterable[int]) -> list[send.Send]:
        buckets_by_request: dict[tuple[Peer, int, Peer], list[int]] = {}
        copies: dict[tuple[Peer, int], list[bucket_part.BucketPart]] = {}
        actions: list[send.Send] = []
        for bucket in buckets:
            state = self._states[bucket]
            role = state.role
            # Fast path: this loop runs often and most buckets have nothing to do.
            if role is not _Role.TAKING_OVER and (
                role is not _Role.PRIMARY or state.is_replicated
            ):
                continue
            self._is_idle = False
            if state.role is _Role.TAKING_OVER:
                self._try_finish(now, bucket, state)
            if now < state.next_send:
                continue
            if state.role is _Role.TAKING_OVER:
                state.next_send = now + RETRY_SECONDS
                for peer in self._pending_peers(state):
                    group = (peer, state.epoch, state.backup)
                    buckets_by_request.setdefault(group, []).append(bucket)
            elif state.role is _Role.PRIMARY and not state.is_replicated:
                state.next_send = now + RETRY_SECONDS
                parts = bucket_parts.split(self._export_state(now, bucket, state))
                copies.setdefault((state.backup, state.epoch), []).extend(parts)
        for (backup, epoch), parts in copies.items():
            actions.extend(self._copy_messages(backup, epoch, parts))
        for (peer, epoch, backup), buckets in buckets_by_request.items():
            actions.extend(self._handover_requests(peer, epoch, backup, buckets))
        return actions

    def tick(self, now: float) -> list[send.Send]:
        """Discard expired copies, extend incomplete claims and retry messages."""
        if now >= self._next_copy_check:
            self._next_copy_check = now + COPY_CHECK_SECONDS
            self._expire_copies(now)
        return self.advance(now)

    def _expire_copies(self, now: float) -> None:
        """Discard expired copies and extend the time of incomplete claims."""
        has_lost_remote = any(
            m.state is member_state.MemberState.LOST and m.region != self._region
            for m in (self.view.members if self.view else ())
        )
        for bucket, state in self._states.items():
            if has_lost_remote and now < state.incomplete_until:
                # A lost member may still serve in a region that is partitioned.
                state.incomplete_until = now + INCOMPLETE_SECONDS
            if now >= state.keep_copy_until:
                state.discard_copy()
                self._claims.drop_bucket(bucket)

    def on_request(
        self, now: float, sender: Peer, message: handover_request.HandoverRequest
    ) -> list[send.Send]:
        """Accept a higher epoch and reply with the local state."""
        self._is_idle = False
        if self.is_replaced(sender):
            return []
        parts = []
        actions: list[send.Send] = []
        backup = (message.backup, message.backup_incarnation)
        for bucket in message.buckets:
            state = self.state(bucket)
            if message.epoch > state.epoch:
                self._fence(bucket, state, message.epoch, sender, backup)
            if (state.epoch, state.holder) != (message.epoch, sender):
                actions.extend(self._send_epoch(now, bucket, sender))
                continue
            if state.copy_epoch and state.role is not _Role.BACKUP:
                state.keep_copy_until = now + KEEP_COPY_SECONDS
            parts.extend(bucket_parts.split(self._export_state(now, bucket, state)))
        replies = [
            send.Send(
                *sender,
                handover_reply.HandoverReply(message.class_id, message.epoch, group),
            )
            for group in bucket_parts.pack(parts)
        ]
        return actions + replies

    def report_epoch(self, now: float, bucket: int) -> list[send.Send]:
        """Report an epoch whose holder is no longer live to the primary.

        That holder may have fenced only some members, so the primary may not know
        of the epoch while its backup acknowledges nothing.
        """
        self._is_idle = False
        state = self.state(bucket)
        primary = self.primary(bucket)
        if self.is_live(state.holder) or primary in (
            self._local_peer,
            bucket_state.NO_PEER,
        ):
            return []
        return self._send_epoch(now, bucket, primary)

    def _send_epoch(self, now: float, bucket: int, peer: Peer) -> list[send.Send]:
        state = self.state(bucket)
        if state.epoch == 0 or self.view is None:
            return []
        header = msgspec.structs.replace(
            self._export_state(now, bucket, state), flows=(), claims=()
        )
        reply = handover_reply.HandoverReply(self.view.class_id, state.epoch, (header,))
        return [send.Send(*peer, reply)]

    def on_reply(
        self, now: float, sender: Peer, message: handover_reply.HandoverReply
    ) -> list[send.Send]:
        """Process parts of a member's state."""
        self._is_idle = False
        changed_buckets: dict[int, None] = {}
        for part in message.items:
            state = self.state(part.bucket)
            if message.epoch > state.epoch:
                state.known_epochs.add(message.epoch)
                self._update_assignment(part.bucket)
                changed_buckets[part.bucket] = None
            if state.role is not _Role.TAKING_OVER or state.epoch != message.epoch:
                continue
            assembler = state.assemblers.setdefault(
                sender, bucket_parts.PartAssembler()
            )
            assembler.add(part)
            changed_buckets[part.bucket] = None
        return self._advance_buckets(now, changed_buckets)

    def on_copy(
        self, now: float, sender: Peer, message: directory_update.DirectoryUpdate
    ) -> list[send.Send]:
        """Process parts of the holder's copy as its backup."""
        self._is_idle = False
        actions = []
        for part in message.items:
            state = self.state(part.bucket)
            if (state.role, state.epoch, state.holder) != (
                _Role.BACKUP,
                message.epoch,
                sender,
            ):
                continue
            if state.copy_epoch != state.epoch:
                assembler = state.assemblers.setdefault(
                    sender, bucket_parts.PartAssembler()
                )
                assembler.add(part)
                if assembler.complete_parts is None:
                    continue
                for peer_part in assembler.complete_parts:
                    self._claims.merge(now, part.bucket, peer_part.claims)
                state.mark_complete(now + part.incomplete_ms / 1000)
            ack = directory_ack.DirectoryAck(
                message.class_id, part.bucket, message.epoch
            )
            actions.append(send.Send(*sender, ack))
        return actions

    def on_copy_ack(self, sender: Peer, message: directory_ack.DirectoryAck) -> None:
        """Record that the backup has the copy."""
        self._is_idle = False
        state = self.state(message.bucket)
        if state.role is _Role.PRIMARY and (state.epoch, state.backup) == (
            message.epoch,
            sender,
        ):
            state.is_replicated = True

    def _candidates(self, bucket: int) -> tuple[Peer, Peer]:
        if self.view is None or bucket >= len(self.view.candidates):
            return bucket_state.NO_PEER, bucket_state.NO_PEER
        primary, backup = self.view.candidates[bucket]
        return self._live_peer(primary), self._live_peer(backup)

    def _live_peer(self, node_id: int) -> Peer:
        member = self._live_members.get(node_id)
        return (node_id, member.incarnation) if member else bucket_state.NO_PEER

    def _give_up_roles(self) -> None:
        """Give up all roles and copies from before the return of this agent.

        Later epochs are kept, since their holder knew this agent as a member.
        """
        record = self.view.member(self._local_peer[0]) if self.view else None
        is_same_incarnation = (
            record is not None and record.incarnation == self._local_peer[1]
        )
        return_revision = float("inf")
        if record is not None and is_same_incarnation:
            is_lost = record.state is member_state.MemberState.LOST
            return_revision = record.modified if is_lost else record.returned
        for bucket, state in self._states.items():
            if state.copy_epoch < return_revision:
                state.discard_copy()
            if state.epoch >= return_revision:
                continue
            if state.role in (_Role.TAKING_OVER, _Role.BACKUP):
                state.enter_epoch(state.epoch, state.holder, state.backup, _Role.FENCED)
            state.role = _Role.FENCED
            state.is_serving = state.is_replicated = False
            if state.holder == self._local_peer:
                state.holder = bucket_state.NO_PEER
            self._directory.drop_bucket(bucket)
            self.routable_buckets.add(bucket)

    def _update_assignment(self, bucket: int) -> None:
        """Start, restart or cancel the takeover of a bucket after a table change."""
        if self.view is None or not self.is_live(self._local_peer):
            return
        primary, backup = self._candidates(bucket)
        state = self._states.get(bucket)
        if primary != self._local_peer:
            if state and state.role is _Role.TAKING_OVER and not state.is_serving:
                state.enter_epoch(state.epoch, primary, backup, _Role.FENCED)
                self.routable_buckets.add(bucket)
            return
        state = self.state(bucket)
        is_holder = state.role in (_Role.TAKING_OVER, _Role.PRIMARY)
        # A backup that was lost after this epoch began has given up its role.
        member = self._live_members.get(backup[0])
        has_returned = member is not None and member.returned > state.epoch
        is_current = state.backup == backup and not has_returned
        if is_holder and is_current and max(state.known_epochs) <= state.epoch:
            return
        if self.view.revision <= state.epoch:
            return
        state.enter_epoch(
            self.view.revision, self._local_peer, backup, _Role.TAKING_OVER
        )
        state.keep_copy_until = float("inf")
        state.next_send = 0.0

    def _fence(
        self,
        bucket: int,
        state: bucket_state.BucketState,
        epoch: int,
        holder: Peer,
        backup: Peer,
    ) -> None:
        role = _Role.BACKUP if backup == self._local_peer else _Role.FENCED
        state.enter_epoch(epoch, holder, backup, role)
        if state.is_serving:
            state.is_serving = False
            self._directory.drop_bucket(bucket)
        self.routable_buckets.add(bucket)

    def _pending_peers(self, state: bucket_state.BucketState) -> list[Peer]:
        """Return the members whose state has not been received completely."""
        peers = [(m.node_id, m.incarnation) for m in self._live_members.values()]
        return [
            p
            for p in peers
            if p != self._local_peer
            and (
                p not in state.assemblers or state.assemblers[p].complete_parts is None
            )
        ]

    def _handover_requests(
        self, peer: Peer, epoch: int, backup: Peer, buckets: list[int]
    ) -> list[send.Send]:
        assert self.view is not None
        starts = range(0, len(buckets), MAX_BUCKETS_PER_REQUEST)
        return [
            send.Send(
                *peer,
                handover_request.HandoverRequest(
                    self.view.class_id,
                    epoch,
                    *backup,
                    tuple(buckets[i : i + MAX_BUCKETS_PER_REQUEST]),
                ),
            )
            for i in starts
        ]

    def _try_finish(
        self, now: float, bucket: int, state: bucket_state.BucketState
    ) -> None:
        if self._pending_peers(state):
            return
        peer_states = {
            p: a.complete_parts
            for p, a in state.assemblers.items()
            if a.complete_parts is not None
        }
        incomplete_until = self._compute_incomplete_until(
            now, state, [parts[0] for parts in peer_states.values()]
        )
        # A holder that starts a new epoch has relayed packets according to its own
        # directory entries, so they are kept.
        directory = self._directory.for_bucket(bucket)
        for flow in self._owned.in_bucket(bucket):
            directory.put(now, flow, self._local_peer)
        for peer, parts in peer_states.items():
            for part in parts:
                self._claims.merge(now, bucket, part.claims)
                for held in part.flows:
                    self._record_owner(now, held, peer)
        state.mark_complete(incomplete_until)
        state.role = _Role.PRIMARY
        state.is_serving = True
        state.is_replicated = state.backup == bucket_state.NO_PEER
        state.next_send = 0.0
        self.routable_buckets.add(bucket)

    def _record_owner(self, now: float, held: held_flow.HeldFlow, peer: Peer) -> None:
        directory = self._directory.for_flow(held.flow)
        owner = directory.owner(held.flow)
        if owner is None or not self.can_serve(owner):
            if self.can_serve(peer):
                directory.put(now, held.flow, peer)
        elif owner == peer:
            directory.put(now, held.flow, peer)

    def _compute_incomplete_until(
        self,
        now: float,
        state: bucket_state.BucketState,
        replies: list[bucket_part.BucketPart],
    ) -> float:
        """Return the time until which claims of the bucket may be missing.

        None are missing if some agent held the copy at the last epoch in which
        claims can have been granted.
        """
        assert self.view is not None
        local_remaining_ms = int(max(0.0, state.incomplete_until - now) * 1000)
        copies = [(state.copy_epoch, local_remaining_ms)]
        copies += [(r.copy_epoch, r.incomplete_ms) for r in replies]
        known_epochs = set(state.known_epochs).union(
            *(r.known_epochs for r in replies)
        ) - {state.epoch}
        void_epochs = set(state.void_epochs).union(*(r.void_epochs for r in replies))
        dropped_epochs = [
            state.highest_dropped_epoch,
            *(r.highest_dropped_epoch for r in replies),
        ]
        last_granting_epoch = max([*dropped_epochs, *(known_epochs - void_epochs)])
        latest_copy_epoch = max(copies)[0]
        if latest_copy_epoch > 0 and latest_copy_epoch >= last_granting_epoch:
            remaining_ms = max(ms for epoch, ms in copies if epoch == latest_copy_epoch)
            return now + remaining_ms / 1000
        is_first = self._first_start and all(r.first_start for r in replies)
        if (
            last_granting_epoch == 0
            and latest_copy_epoch == 0
            and is_first
            and not self.view.has_departed
        ):
            return float("-inf")
        return now + INCOMPLETE_SECONDS

    def _export_state(
        self, now: float, bucket: int, state: bucket_state.BucketState
    ) -> bucket_part.BucketPart:
        flows = tuple(
            held_flow.HeldFlow(f, self._owned.held_ms(now, f))
            for f in self._owned.in_bucket(bucket)
        )
        return bucket_part.BucketPart(
            bucket=bucket,
            snapshot=0,
            part=0,
            parts=1,
            copy_epoch=state.copy_epoch,
            known_epochs=tuple(sorted(state.known_epochs)),
            void_epochs=tuple(sorted(state.void_epochs)),
            highest_dropped_epoch=state.highest_dropped_epoch,
            incomplete_ms=int(max(0.0, state.incomplete_until - now) * 1000),
            first_start=self._first_start,
            flows=flows,
            claims=tuple(self._claims.export(now, bucket)),
        )

    def _copy_messages(
        self, backup: Peer, epoch: int, parts: list[bucket_part.BucketPart]
    ) -> list[send.Send]:
        assert self.view is not None
        class_id = self.view.class_id
        return [
            send.Send(*backup, directory_update.DirectoryUpdate(class_id, epoch, group))
            for group in bucket_parts.pack(parts)
        ]
