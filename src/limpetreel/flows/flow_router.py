"""Routing of packets and claims at an agent."""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING

from limpetreel.core import core, reason
from limpetreel.flows import (
    bucket_directory,
    bucket_role,
    departures,
    drop,
    flow_directory,
    message_arrived,
    owned_flows,
    packet_arrived,
    refuse,
    relay,
    send,
    serve,
    table_changed,
    takeover_core,
)
from limpetreel.flows import tick as ticks
from limpetreel.messages import (
    claim_ack,
    claim_request,
    claim_result,
    directory_ack,
    directory_update,
    flows_held,
    handover_reply,
    handover_request,
    held_flow,
    offer_refused,
)
from limpetreel.requests import claim, claim_store, lifetime, outcome
from limpetreel.wire import mode, packet

if TYPE_CHECKING:
    import msgspec

    from limpetreel.flows import flow_key
    from limpetreel.requests import request_key

    Peer = tuple[int, int]
    Action = msgspec.Struct

MAX_FURTHER_OFFERS = 2
"""Agents that are offered a flow after the backup. Shares follow the load only within
about ten seconds, and primary and backup of a bucket may both be slow.
"""

MAX_QUEUED_PER_BUCKET = 64
QUEUE_SECONDS = 1.0
"""Older queued packets are dropped, like packets that are in transit for longer."""
FLOWS_PER_MESSAGE = 40
DRAIN_IDLE_SECONDS = 10.0
"""A draining agent treats flows without packets for this time as ended."""
NO_PEER = (0, 0)
EXPIRY_SECONDS = 1.0


class FlowRouter(core.Core):
    """Decides where the packets of a class go and answers claims.

    Parameters
    ----------
    class_id : int
        Class of the agent.
    local_peer : tuple of int
        Node id and incarnation of the agent.
    region : str
        Region of the agent.
    first_start : bool
        True if the node is new to control. Only then can a new class serve
        non-idempotent requests at once, as no earlier claims can be missing.
    max_flows : int
        New flows are refused above this number of flows.
    """

    def __init__(
        self,
        class_id: int,
        local_peer: Peer,
        region: str,
        first_start: bool = False,
        max_flows: int = flow_directory.MAX_FLOWS,
    ) -> None:
        self._class_id = class_id
        self._local_peer = local_peer
        self._directory = flow_directory.FlowDirectory(max_flows)
        self._owned = owned_flows.OwnedFlows()
        self._claims = claim_store.ClaimStore()
        self._takeover = takeover_core.TakeoverCore(
            local_peer, region, first_start, self._directory, self._owned, self._claims
        )
        self._departures = departures.Departures(first_start)
        self._queues: dict[
            int, collections.deque[tuple[float, packet_arrived.PacketArrived]]
        ] = {}
        self._next_refresh = 0.0
        self._refusal_count = 0
        self._next_expiry = 0.0

    def handle(self, now: float, event: msgspec.Struct) -> list[msgspec.Struct]:
        """Process one event and return the resulting actions, in order."""
        actions: list[Action] = []
        if isinstance(event, packet_arrived.PacketArrived):
            return self._route(now, event)
        if isinstance(event, message_arrived.MessageArrived):
            sender = (event.sender, event.incarnation)
            if isinstance(event.message, offer_refused.OfferRefused):
                actions.extend(self._on_offer_refused(now, event, event.message))
            else:
                actions.extend(self._on_message(now, sender, event.message))
        elif isinstance(event, table_changed.TableChanged):
            self._departures.update(now, event.view)
            actions.extend(self._takeover.update_view(now, event.view))
        elif isinstance(event, ticks.Tick):
            actions.extend(self._on_tick(now))
        return actions + self._route_queued(now)

    def role(self, bucket: int) -> bucket_role.BucketRole:
        """Return the role of this agent for a bucket."""
        return self._takeover.state(bucket).role

    def owns(self, flow: flow_key.FlowKey) -> bool:
        """Return whether this agent owns a flow."""
        return flow in self._owned

    def has_recent_flow(self, now: float) -> bool:
        """Return whether an owned flow was used within `DRAIN_IDLE_SECONDS`."""
        return self._owned.last_use() + DRAIN_IDLE_SECONDS > now

    def held_ms(self, now: float, flow: flow_key.FlowKey) -> int:
        """Return the time for which this agent has owned a flow."""
        return self._owned.held_ms(now, flow)

    def claim_peers(self, bucket: int) -> tuple[Peer, ...]:
        """Return holder and backup of a bucket as far as they are known."""
        state = self._takeover.state(bucket)
        peers: tuple[Peer, ...] = (state.holder, state.backup)
        if state.holder == NO_PEER or self._takeover.is_replaced(state.holder):
            peers = (self._takeover.primary(bucket),)
        return tuple(p for p in peers if p != NO_PEER)

    def may_have_run_elsewhere(self, now: float) -> bool:
        """Return whether an earlier owner may have run a request without a claim."""
        return self._departures.is_recent(now)

    def is_refused(self, key: request_key.RequestKey) -> bool:
        """Return whether a claim records that a request was refused as NOT_RUN."""
        existing = self._claims.find(key.flow.bucket(), key)
        return existing is not None and existing.outcome is outcome.Outcome.NOT_RUN

    def record_refusal(
        self, now: float, key: request_key.RequestKey
    ) -> outcome.Outcome | None:
        """Record the refusal of a request and return the outcome for its caller.

        The outcome is NOT_RUN only if no earlier owner may have run the request and
        the refusal is recorded, so that a later holder refuses copies of the request
        as well. Returns None, in which case no answer is sent, if the claim store is
        full.
        """
        bucket = key.flow.bucket()
        state = self._takeover.state(bucket)
        existing = self._claims.find(bucket, key)
        if existing is not None:
            return existing.outcome or outcome.Outcome.UNKNOWN
        if not state.is_serving or now < state.incomplete_until:
            return outcome.Outcome.UNKNOWN
        self._refusal_count += 1
        record = claim.Claim(
            key, *self._local_peer, -self._refusal_count, outcome.Outcome.NOT_RUN
        )
        if self._claims.record(now, bucket, record) is None:
            return None
        return outcome.Outcome.NOT_RUN

    def _route(self, now: float, event: packet_arrived.PacketArrived) -> list[Action]:
        flow = event.flow
        if flow.class_id != self._class_id:
            return [drop.Drop(flow, reason.Reason.WRONG_CLASS)]
        if flow in self._owned:
            return self._serve(now, event)
        state = self._takeover.state(flow.bucket())
        if state.is_serving:
            return self._route_as_holder(now, event, state.backup)
        if state.role is bucket_role.BucketRole.TAKING_OVER:
            return self._queue_packet(now, event)
        if event.mode != mode.Mode.FIND:
            return self._accept_from_holder(now, event, state.holder)
        return self._relay_to_holder(event)

    def _route_as_holder(
        self, now: float, event: packet_arrived.PacketArrived, backup: Peer
    ) -> list[Action]:
        directory = self._directory.for_flow(event.flow)
        owner = directory.owner(event.flow)
        if owner is not None and self._takeover.can_serve(owner):
            directory.put(now, event.flow, owner)
            if owner == self._local_peer:
                return self._serve(now, event)
            return [self._relay(event, owner, mode.Mode.DELIVER)]
        if self._directory.is_full:
            return [refuse.Refuse(event.flow, event.datagram)]
        if event.accepts and len(self._owned) < owned_flows.MAX_OWNED:
            directory.put(now, event.flow, self._local_peer)
            return self._serve(now, event)
        if backup != NO_PEER and self._takeover.can_serve(backup):
            directory.put(now, event.flow, backup, offered=True)
            return [self._relay(event, backup, mode.Mode.OFFER)]
        if event.accepts_wait and len(self._owned) < owned_flows.MAX_OWNED:
            directory.put(now, event.flow, self._local_peer)
            return self._serve(now, event)
        return [refuse.Refuse(event.flow, event.datagram)]

    def _accept_from_holder(
        self, now: float, event: packet_arrived.PacketArrived, holder: Peer
    ) -> list[Action]:
        """Accept a flow that the holder assigned or offered to this agent."""
        sender = (event.sender, event.incarnation)
        if sender != holder:
            return self._relay_to_holder(event)
        if event.mode == mode.Mode.DELIVER:
            return self._serve(now, event)
        if event.accepts and len(self._owned) < owned_flows.MAX_OWNED:
            return self._serve(now, event)
        refused = offer_refused.OfferRefused(event.flow, event.datagram)
        return [send.Send(*sender, refused)]

    def _relay_to_holder(self, event: packet_arrived.PacketArrived) -> list[Action]:
        bucket = event.flow.bucket()
        target = self._takeover.state(bucket).holder
        if not self._takeover.is_live(target):
            target = self._takeover.primary(bucket)
        if target in (NO_PEER, self._local_peer):
            return [drop.Drop(event.flow, reason.Reason.NO_MEMBER)]
        return [self._relay(event, target, mode.Mode.FIND)]

    def _relay(
        self, event: packet_arrived.PacketArrived, target: Peer, relay_mode: mode.Mode
    ) -> Action:
        if event.hops >= packet.MAX_HOPS:
            return drop.Drop(event.flow, reason.Reason.TOO_MANY_HOPS)
        return relay.Relay(
            *target, relay_mode, event.hops + 1, event.flow, event.datagram
        )

    def _serve(self, now: float, event: packet_arrived.PacketArrived) -> list[Action]:
        is_new = event.flow not in self._owned
        self._owned.use(now, event.flow)
        return [serve.Serve(event.flow, event.datagram, is_new)]

    def _queue_packet(
        self, now: float, event: packet_arrived.PacketArrived
    ) -> list[Action]:
        queue = self._queues.setdefault(event.flow.bucket(), collections.deque())
        if len(queue) >= MAX_QUEUED_PER_BUCKET:
            return [drop.Drop(event.flow, reason.Reason.OVERLOADED)]
        queue.append((now, event))
        return []

    def _route_queued(self, now: float) -> list[Action]:
        actions: list[Action] = []
        routable = sorted(self._takeover.routable_buckets)
        self._takeover.routable_buckets.clear()
        for bucket in routable:
            for queued_at, event in self._queues.pop(bucket, ()):
                if now - queued_at > QUEUE_SECONDS:
                    actions.append(drop.Drop(event.flow, reason.Reason.TIMEOUT))
                else:
                    actions.extend(self._route(now, event))
        return actions

    def _on_message(
        self, now: float, sender: Peer, message: msgspec.Struct
    ) -> list[Action]:
        takeover = self._takeover
        if getattr(message, "class_id", None) != self._class_id:
            return []
        if isinstance(message, handover_request.HandoverRequest):
            return [*takeover.on_request(now, sender, message)]
        if isinstance(message, handover_reply.HandoverReply):
            return [*takeover.on_reply(now, sender, message)]
        if isinstance(message, directory_update.DirectoryUpdate):
            return [*takeover.on_copy(now, sender, message)]
        if isinstance(message, directory_ack.DirectoryAck):
            takeover.on_copy_ack(sender, message)
        elif isinstance(message, flows_held.FlowsHeld):
            self._on_flows_held(now, sender, message)
        elif isinstance(message, claim_request.ClaimRequest):
            return self._on_claim(now, sender, message)
        elif isinstance(message, claim_result.ClaimResult):
            self._on_claim_result(now, sender, message)
        return []

    def _on_offer_refused(
        self,
        now: float,
        event: message_arrived.MessageArrived,
        message: offer_refused.OfferRefused,
    ) -> list[Action]:
        """Offer a flow to the next agent, serve it, or refuse it."""
        flow = message.flow
        state = self._takeover.state(flow.bucket())
        if not state.is_serving:
            # The next holder may place the flow, so a refusal could be wrong.
            return [drop.Drop(flow, reason.Reason.STALE)]
        directory = self._directory.for_flow(flow)
        sender = (event.sender, event.incarnation)
        directory.withdraw_offer(flow, sender)
        if directory.owner(flow) is not None:
            # The owner may have accepted another packet of the flow.
            return [refuse.Refuse(flow, message.datagram)]
        target = self._next_offer(flow, state.backup, sender)
        if target != NO_PEER and event.hops < packet.MAX_HOPS:
            directory.put(now, flow, target, offered=True)
            relay_mode, hops = mode.Mode.OFFER, event.hops + 1
            return [relay.Relay(*target, relay_mode, hops, flow, message.datagram)]
        if event.accepts and len(self._owned) < owned_flows.MAX_OWNED:
            directory.put(now, flow, self._local_peer)
            self._owned.use(now, flow)
            return [serve.Serve(flow, message.datagram, is_new=True)]
        return [refuse.Refuse(flow, message.datagram)]

    def _next_offer(self, flow: flow_key.FlowKey, backup: Peer, refused: Peer) -> Peer:
        """Return the agent that is offered a flow after another one refused it.

        The order depends only on the flow and the table, so no state is kept per
        offer.
        """
        other_agents = [
            p
            for p in self._takeover.accepting_agents()
            if p not in (self._local_peer, backup)
        ]
        start = flow.caller.ip + flow.caller.port
        count = min(MAX_FURTHER_OFFERS, len(other_agents))
        order = [
            backup,
            *(other_agents[(start + i) % len(other_agents)] for i in range(count)),
        ]
        remaining = itertools.dropwhile(lambda p: p != refused, order)
        next(remaining, None)
        return next(remaining, NO_PEER)

    def _on_flows_held(
        self, now: float, sender: Peer, message: flows_held.FlowsHeld
    ) -> None:
        if not self._takeover.can_serve(sender):
            return
        for held in message.flows:
            if not self._takeover.state(held.flow.bucket()).is_serving:
                continue
            directory = self._directory.for_flow(held.flow)
            owner = directory.owner(held.flow)
            if owner == sender or not owner or not self._takeover.is_live(owner):
                directory.put(now, held.flow, sender)

    def _on_claim(
        self, now: float, sender: Peer, message: claim_request.ClaimRequest
    ) -> list[Action]:
        state = self._takeover.state(message.bucket)
        is_holder = state.role is bucket_role.BucketRole.PRIMARY and state.is_replicated
        is_backup = (
            state.role is bucket_role.BucketRole.BACKUP
            and state.copy_epoch == state.epoch
        )
        if not (is_holder or is_backup):
            return [*self._takeover.report_epoch(now, message.bucket)]
        new_claim = claim.Claim(message.key, *sender, message.claim_id)
        if is_holder and self._claims.find(message.bucket, message.key) is None:
            refusal = self._check_claimant(now, sender, message)
            if refusal is not None:
                return self._acknowledge(sender, message, is_holder, refusal)
        recorded_claim = self._claims.record(now, message.bucket, new_claim)
        if recorded_claim is None:
            return []
        return self._acknowledge(sender, message, is_holder, recorded_claim)

    def _check_claimant(
        self, now: float, sender: Peer, message: claim_request.ClaimRequest
    ) -> claim.Claim | None:
        """Return a claim without owner if the request may have run at another agent."""
        directory = self._directory.for_flow(message.key.flow)
        owner = directory.owner(message.key.flow)
        ownerless_claim = claim.Claim(message.key, 0, 0, 0, outcome.Outcome.UNKNOWN)
        if not self._takeover.can_serve(sender):
            return ownerless_claim
        if owner not in (None, sender) and self._takeover.can_serve(owner or NO_PEER):
            return ownerless_claim
        # An agent that has owned the flow for the lifetime of the request has received
        # every copy of it. After a shorter time the flow may have had an earlier
        # owner, whose claims were lost.
        is_incomplete = now < self._takeover.state(message.bucket).incomplete_until
        if is_incomplete and message.held_ms < lifetime.EXCHANGE_SECONDS * 1000:
            return ownerless_claim
        directory.put(now, message.key.flow, sender)
        return None

    def _acknowledge(
        self,
        sender: Peer,
        message: claim_request.ClaimRequest,
        is_holder: bool,
        recorded_claim: claim.Claim,
    ) -> list[Action]:
        state = self._takeover.state(message.bucket)
        granted = (
            recorded_claim.owner,
            recorded_claim.incarnation,
            recorded_claim.claim_id,
        ) == (
            *sender,
            message.claim_id,
        )
        reported_outcome = recorded_claim.outcome or outcome.Outcome.UNKNOWN
        if reported_outcome is outcome.Outcome.ANSWERED and not recorded_claim.answer:
            reported_outcome = outcome.Outcome.UNKNOWN
        ack = claim_ack.ClaimAck(
            self._class_id,
            message.bucket,
            message.claim_id,
            state.epoch,
            is_holder,
            granted,
            *state.backup,
            reported_outcome,
            recorded_claim.answer,
        )
        return [send.Send(*sender, ack)]

    def _on_claim_result(
        self, now: float, sender: Peer, message: claim_result.ClaimResult
    ) -> None:
        ended_claim = claim.Claim(
            message.key, *sender, message.claim_id, message.outcome, message.answer
        )
        self._claims.record_outcome(message.bucket, ended_claim)

    def _on_tick(self, now: float) -> list[Action]:
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_SECONDS
            self._claims.expire(now)
            self._owned.expire(now)
            self._directory.expire(now)
        actions: list[Action] = [*self._takeover.tick(now)]
        if now >= self._next_refresh:
            self._next_refresh = now + bucket_directory.REFRESH_SECONDS
            actions.extend(self._refresh_holders(now))
        return actions

    def _refresh_holders(self, now: float) -> list[Action]:
        by_peer: dict[Peer, list[held_flow.HeldFlow]] = {}
        for bucket in self._owned.buckets():
            for peer in self.claim_peers(bucket)[:1]:
                if peer == self._local_peer:
                    continue
                by_peer.setdefault(peer, []).extend(
                    held_flow.HeldFlow(f, self._owned.held_ms(now, f))
                    for f in self._owned.in_bucket(bucket)
                )
        return [
            send.Send(
                *peer,
                flows_held.FlowsHeld(
                    self._class_id, tuple(held[i : i + FLOWS_PER_MESSAGE])
                ),
            )
            for peer, held in by_peer.items()
            for i in range(0, len(held), FLOWS_PER_MESSAGE)
        ]
