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

REPEAT_SECONDS = 0.1
CHECK_SECONDS = 1.0
MAX_BUCKETS_PER_REQUEST = 256
DOUBT_SECONDS = lifetime.EXCHANGE_SECONDS
KEEP_SECONDS = lifetime.EXCHANGE_SECONDS

_Role = bucket_role.BucketRole


class TakeoverCore:
    """Epochs, fencing and copies of the buckets of one class.

    Parameters
    ----------
    me : tuple of int
        Node id and incarnation of this agent.
    region : str
        Region of this agent.
    first_start : bool
        True if this node has certainly never run before.
    directory, owned, claims
        State that handovers read and fill.
    """

    def __init__(
        self,
        me: Peer,
        region: str,
        first_start: bool,
        directory: flow_directory.FlowDirectory,
        owned: owned_flows.OwnedFlows,
        claims: claim_store.ClaimStore,
    ) -> None:
        self._me = me
        self._region = region
        self._first_start = first_start
        self._directory = directory
        self._owned = owned
        self._claims = claims
        self._states: dict[int, bucket_state.BucketState] = {}
        self._live: dict[int, class_member.ClassMember] = {}
        self._next_check = float("-inf")
        self._is_settled = False
        self.view: class_view.ClassView | None = None
        self.changed: set[int] = set()
        """Buckets whose queued packets can be routed now."""

    def state(self, bucket: int) -> bucket_state.BucketState:
        """Return the state of a bucket."""
        found = self._states.get(bucket)
        if found is None:
            found = self._states[bucket] = bucket_state.BucketState()
        return found

    def is_live(self, peer: Peer) -> bool:
        """Return whether an agent is a member that is not lost."""
        member = self._live.get(peer[0])
        return member is not None and member.incarnation == peer[1]

    def is_owner_alive(self, peer: Peer) -> bool:
        """Return whether an agent may still serve its flows."""
        return self.is_live(peer) and self._live[peer[0]].serving

    def serving(self) -> list[Peer]:
        """Return the agents that may be given flows."""
        active = member_state.MemberState.ACTIVE
        return [
            (m.node_id, m.incarnation)
            for m in self._live.values()
            if m.serving and m.state is active
        ]

    def is_replaced(self, peer: Peer) -> bool:
        """Return whether the table knows a later incarnation of an agent."""
        member = self.view.member(peer[0]) if self.view else None
        return member is not None and member.incarnation > peer[1]

    def primary(self, bucket: int) -> Peer:
        """Return the primary of a bucket according to the table."""
        return self._candidates(bucket)[0]

    def change_table(self, now: float, view: class_view.ClassView) -> list[send.Send]:
        """Take a table; an older one has no effect."""
        self._is_settled = False
        if self.view is not None and view.revision <= self.view.revision:
            return []
        earlier = self.view.revision if self.view is not None else view.revision
        self.view = view
        self._live = {
            m.node_id: m
            for m in view.members
            if m.state is not member_state.MemberState.LOST
        }
        own = self._live.get(self._me[0])
        is_member = self.is_live(self._me)
        has_returned = own is not None and own.returned > earlier
        if not is_member or has_returned:
            # While this agent was lost, others may have taken its buckets over
            # without asking it, also if it has not seen that it was lost.
            self._leave_all()
            self._owned.restart_ages(now)
        if own is not None and is_member and not own.serving:
            self._owned.clear()
        if not is_member:
            return []
        for bucket in range(len(view.candidates)):
            self._assign(bucket)
        return self.advance(now)

    def advance(self, now: float) -> list[send.Send]:
        """Send what is due and finish takeovers that have all replies."""
        if self._is_settled:
            return []
        # Messages and tables can change the role of a bucket; until the next one
        # arrives, a scan that found nothing to do would find nothing again.
        self._is_settled = True
        return self._step(now, self._states)

    def _step(self, now: float, buckets: Iterable[int]) -> list[send.Send]:
        wanted: dict[tuple[Peer, int, Peer], list[int]] = {}
        copies: dict[tuple[Peer, int], list[bucket_part.BucketPart]] = {}
        actions: list[send.Send] = []
        for bucket in buckets:
            state = self._states[bucket]
            role = state.role
            # Most buckets are settled; this loop runs often and over all of them.
            if role is not _Role.TAKING_OVER and (
                role is not _Role.PRIMARY or state.is_open
            ):
                continue
            self._is_settled = False
            if state.role is _Role.TAKING_OVER:
                self._try_finish(now, bucket, state)
            if now < state.next_send:
                continue
            if state.role is _Role.TAKING_OVER:
                state.next_send = now + REPEAT_SECONDS
                for peer in self._missing(state):
                    group = (peer, state.epoch, state.deputy)
                    wanted.setdefault(group, []).append(bucket)
            elif state.role is _Role.PRIMARY and not state.is_open:
                state.next_send = now + REPEAT_SECONDS
                parts = bucket_parts.split(self._whole(now, bucket, state))
                copies.setdefault((state.deputy, state.epoch), []).extend(parts)
        for (deputy, epoch), parts in copies.items():
            actions.extend(self._copies(deputy, epoch, parts))
        for (peer, epoch, deputy), buckets in wanted.items():
            actions.extend(self._requests(peer, epoch, deputy, buckets))
        return actions

    def tick(self, now: float) -> list[send.Send]:
        """Drop old copies, prolong doubt and repeat messages."""
        if now >= self._next_check:
            self._next_check = now + CHECK_SECONDS
            self._check_copies(now)
        return self.advance(now)

    def _check_copies(self, now: float) -> None:
        """Drop old copies and prolong doubt."""
        remote_lost = any(
            m.state is member_state.MemberState.LOST and m.region != self._region
            for m in (self.view.members if self.view else ())
        )
        for bucket, state in self._states.items():
            if remote_lost and now < state.doubt_until:
                # A lost member of a region that is cut off may go on serving.
                state.doubt_until = now + DOUBT_SECONDS
            if now >= state.kept_until:
                state.lose_copy()
                self._claims.drop_bucket(bucket)

    def on_request(
        self, now: float, sender: Peer, message: handover_request.HandoverRequest
    ) -> list[send.Send]:
        """Accept a higher epoch and reply with the own state."""
        self._is_settled = False
        if self.is_replaced(sender):
            return []
        parts = []
        actions: list[send.Send] = []
        deputy = (message.deputy, message.deputy_incarnation)
        for bucket in message.buckets:
            state = self.state(bucket)
            if message.epoch > state.epoch:
                self._fence(bucket, state, message.epoch, sender, deputy)
            if (state.epoch, state.holder) != (message.epoch, sender):
                actions.extend(self._tell_epoch(now, bucket, sender))
                continue
            if state.copy_epoch and state.role is not _Role.DEPUTY:
                state.kept_until = now + KEEP_SECONDS
            parts.extend(bucket_parts.split(self._whole(now, bucket, state)))
        replies = [
            send.Send(
                *sender,
                handover_reply.HandoverReply(message.class_id, message.epoch, group),
            )
            for group in bucket_parts.pack(parts)
        ]
        return actions + replies

    def notice(self, now: float, bucket: int) -> list[send.Send]:
        """Tell the primary of an epoch whose holder is gone.

        That holder may have fenced only a part of the members, so the primary may
        not know why its deputy acknowledges nothing.
        """
        self._is_settled = False
        state = self.state(bucket)
        primary = self.primary(bucket)
        if self.is_live(state.holder) or primary in (self._me, bucket_state.NOBODY):
            return []
        return self._tell_epoch(now, bucket, primary)

    def _tell_epoch(self, now: float, bucket: int, peer: Peer) -> list[send.Send]:
        state = self.state(bucket)
        if state.epoch == 0 or self.view is None:
            return []
        head = msgspec.structs.replace(
            self._whole(now, bucket, state), flows=(), claims=()
        )
        reply = handover_reply.HandoverReply(self.view.class_id, state.epoch, (head,))
        return [send.Send(*peer, reply)]

    def on_reply(
        self, now: float, sender: Peer, message: handover_reply.HandoverReply
    ) -> list[send.Send]:
        """Take parts of a member's state."""
        self._is_settled = False
        touched: dict[int, None] = {}
        for part in message.items:
            state = self.state(part.bucket)
            if message.epoch > state.epoch:
                state.seen.add(message.epoch)
                self._assign(part.bucket)
                touched[part.bucket] = None
            if state.role is not _Role.TAKING_OVER or state.epoch != message.epoch:
                continue
            join = state.joins.setdefault(sender, bucket_parts.PartJoin())
            join.add(part)
            touched[part.bucket] = None
        return self._step(now, touched)

    def on_copy(
        self, now: float, sender: Peer, message: directory_update.DirectoryUpdate
    ) -> list[send.Send]:
        """Take parts of the holder's copy as its deputy."""
        self._is_settled = False
        actions = []
        for part in message.items:
            state = self.state(part.bucket)
            if (state.role, state.epoch, state.holder) != (
                _Role.DEPUTY,
                message.epoch,
                sender,
            ):
                continue
            if state.copy_epoch != state.epoch:
                join = state.joins.setdefault(sender, bucket_parts.PartJoin())
                join.add(part)
                if join.whole is None:
                    continue
                for item in join.whole:
                    self._claims.merge(now, part.bucket, item.claims)
                state.complete(now + part.doubt_ms / 1000)
            ack = directory_ack.DirectoryAck(
                message.class_id, part.bucket, message.epoch
            )
            actions.append(send.Send(*sender, ack))
        return actions

    def on_copy_ack(self, sender: Peer, message: directory_ack.DirectoryAck) -> None:
        """Note that the deputy has the copy."""
        self._is_settled = False
        state = self.state(message.bucket)
        if state.role is _Role.PRIMARY and (state.epoch, state.deputy) == (
            message.epoch,
            sender,
        ):
            state.is_open = True

    def _candidates(self, bucket: int) -> tuple[Peer, Peer]:
        if self.view is None or bucket >= len(self.view.candidates):
            return bucket_state.NOBODY, bucket_state.NOBODY
        primary, deputy = self.view.candidates[bucket]
        return self._peer(primary), self._peer(deputy)

    def _peer(self, node_id: int) -> Peer:
        member = self._live.get(node_id)
        return (node_id, member.incarnation) if member else bucket_state.NOBODY

    def _leave_all(self) -> None:
        """Give up all roles and copies from before the return of this agent.

        A later epoch was entered by a holder that knew this agent as a member.
        """
        record = self.view.member(self._me[0]) if self.view else None
        known = record is not None and record.incarnation == self._me[1]
        since = float("inf")
        if record is not None and known:
            is_lost = record.state is member_state.MemberState.LOST
            since = record.modified if is_lost else record.returned
        for bucket, state in self._states.items():
            if state.copy_epoch < since:
                state.lose_copy()
            if state.epoch >= since:
                continue
            if state.role in (_Role.TAKING_OVER, _Role.DEPUTY):
                state.enter(state.epoch, state.holder, state.deputy, _Role.FENCED)
            state.role = _Role.FENCED
            state.is_serving = state.is_open = False
            if state.holder == self._me:
                state.holder = bucket_state.NOBODY
            self._directory.drop_bucket(bucket)
            self.changed.add(bucket)

    def _assign(self, bucket: int) -> None:
        """Start, renew or give up a takeover after a table change."""
        if self.view is None or not self.is_live(self._me):
            return
        primary, deputy = self._candidates(bucket)
        state = self._states.get(bucket)
        if primary != self._me:
            if state and state.role is _Role.TAKING_OVER and not state.is_serving:
                state.enter(state.epoch, primary, deputy, _Role.FENCED)
                self.changed.add(bucket)
            return
        state = self.state(bucket)
        is_holder = state.role in (_Role.TAKING_OVER, _Role.PRIMARY)
        # A deputy that was lost in between has given up its role.
        member = self._live.get(deputy[0])
        has_returned = member is not None and member.returned > state.epoch
        is_current = state.deputy == deputy and not has_returned
        if is_holder and is_current and max(state.seen) <= state.epoch:
            return
        if self.view.revision <= state.epoch:
            return
        state.enter(self.view.revision, self._me, deputy, _Role.TAKING_OVER)
        state.kept_until = float("inf")
        state.next_send = 0.0

    def _fence(
        self,
        bucket: int,
        state: bucket_state.BucketState,
        epoch: int,
        holder: Peer,
        deputy: Peer,
    ) -> None:
        role = _Role.DEPUTY if deputy == self._me else _Role.FENCED
        state.enter(epoch, holder, deputy, role)
        if state.is_serving:
            state.is_serving = False
            self._directory.drop_bucket(bucket)
        self.changed.add(bucket)

    def _missing(self, state: bucket_state.BucketState) -> list[Peer]:
        """Return the members whose state is not complete here."""
        peers = [(m.node_id, m.incarnation) for m in self._live.values()]
        return [
            p
            for p in peers
            if p != self._me and (p not in state.joins or state.joins[p].whole is None)
        ]

    def _requests(
        self, peer: Peer, epoch: int, deputy: Peer, buckets: list[int]
    ) -> list[send.Send]:
        assert self.view is not None
        starts = range(0, len(buckets), MAX_BUCKETS_PER_REQUEST)
        return [
            send.Send(
                *peer,
                handover_request.HandoverRequest(
                    self.view.class_id,
                    epoch,
                    *deputy,
                    tuple(buckets[i : i + MAX_BUCKETS_PER_REQUEST]),
                ),
            )
            for i in starts
        ]

    def _try_finish(
        self, now: float, bucket: int, state: bucket_state.BucketState
    ) -> None:
        if self._missing(state):
            return
        wholes = {p: j.whole for p, j in state.joins.items() if j.whole is not None}
        doubt_until = self._judge(now, state, [w[0] for w in wholes.values()])
        # A holder that renews its epoch has relayed packets by its own entries.
        directory = self._directory.bucket(bucket)
        for flow in self._owned.in_bucket(bucket):
            directory.put(now, flow, self._me)
        for peer, whole in wholes.items():
            for part in whole:
                self._claims.merge(now, bucket, part.claims)
                for held in part.flows:
                    self._learn(now, held, peer)
        state.complete(doubt_until)
        state.role = _Role.PRIMARY
        state.is_serving = True
        state.is_open = state.deputy == bucket_state.NOBODY
        state.next_send = 0.0
        self.changed.add(bucket)

    def _learn(self, now: float, held: held_flow.HeldFlow, peer: Peer) -> None:
        directory = self._directory.of(held.flow)
        owner = directory.owner(held.flow)
        if owner is None or not self.is_owner_alive(owner):
            if self.is_owner_alive(peer):
                directory.put(now, held.flow, peer)
        elif owner == peer:
            directory.put(now, held.flow, peer)

    def _judge(
        self,
        now: float,
        state: bucket_state.BucketState,
        replies: list[bucket_part.BucketPart],
    ) -> float:
        """Return until when the bucket is in doubt.

        It is not if somebody held the copy at the last epoch at which claims can
        have been granted.
        """
        assert self.view is not None
        own_left = int(max(0.0, state.doubt_until - now) * 1000)
        copies = [(state.copy_epoch, own_left)]
        copies += [(r.copy_epoch, r.doubt_ms) for r in replies]
        seen = set(state.seen).union(*(r.seen for r in replies)) - {state.epoch}
        void = set(state.void).union(*(r.void for r in replies))
        floors = [state.floor, *(r.floor for r in replies)]
        last = max([*floors, *(seen - void)])
        best = max(copies)[0]
        if best > 0 and best >= last:
            left = max(ms for epoch, ms in copies if epoch == best)
            return now + left / 1000
        is_first = self._first_start and all(r.first_start for r in replies)
        if last == 0 and best == 0 and is_first and not self.view.has_departed:
            return float("-inf")
        return now + DOUBT_SECONDS

    def _whole(
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
            seen=tuple(sorted(state.seen)),
            void=tuple(sorted(state.void)),
            floor=state.floor,
            doubt_ms=int(max(0.0, state.doubt_until - now) * 1000),
            first_start=self._first_start,
            flows=flows,
            claims=tuple(self._claims.export(now, bucket)),
        )

    def _copies(
        self, deputy: Peer, epoch: int, parts: list[bucket_part.BucketPart]
    ) -> list[send.Send]:
        assert self.view is not None
        class_id = self.view.class_id
        return [
            send.Send(*deputy, directory_update.DirectoryUpdate(class_id, epoch, group))
            for group in bucket_parts.pack(parts)
        ]
