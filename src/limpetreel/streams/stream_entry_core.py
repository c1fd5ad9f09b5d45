"""Decisions of an entry about flows with a handshake."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from limpetreel.cluster import fleet_view
from limpetreel.core import core, failure
from limpetreel.node import tick
from limpetreel.streams import (
    candidates,
    pending_offer,
    route_table,
    stream_key,
)
from limpetreel.streams.actions import (
    histogram_sample,
    log_line,
    send_caller,
    send_node,
)
from limpetreel.streams.events import caller_packet, fleet_changed, node_datagram
from limpetreel.streams.messages import (
    carry,
    holdings,
    not_owned,
    offer,
    outcome,
    stream_codec,
    verdict,
)
from limpetreel.streams.ownership import flow_owners

if TYPE_CHECKING:
    import msgspec

    from limpetreel.streams import segment, segment_codec

    Actions = list[msgspec.Struct]
    Address = tuple[str, int]
    Fields = dict[str, str | int | float]

OFFER_SECONDS = 0.08
"""Time limit for the answer to an offer: a round trip between data centres, the
wait for the upstream's handshake, and a pause of a busy machine."""
QUEUED_SECONDS = 1.25
"""Time after which a queued flow is refused even if the agent has not answered; the
caller times out 1.4 s after its first packet."""
START_SECONDS = 2.0
"""Time after a start in which an entry may not know all upstreams. Control sends the
list within 1 s, and upstreams announce themselves within one announcement interval."""
HOLD_SECONDS = 0.4
"""Time for which a flow is held while upstreams may become known. A refused caller
retries at once, and would use up its retries before an outage ends."""
HOLD_STEP_SECONDS = 0.05
DEFAULT_IDLE_SECONDS = 15.0
FIRST_NUMBER_BITS = 48
"""Size of the random number before that of the first question of a start."""


class StreamEntryCore(core.Core):
    """Finds an upstream for each new flow and forwards packets to flows' owners.

    Parameters
    ----------
    codec : SegmentCodec
        Packet format.
    data_centre : str
        Data centre of the entry.
    seed : int
        Seed of the choice among equal upstreams.
    """

    def __init__(
        self, codec: segment_codec.SegmentCodec, data_centre: str, seed: int
    ) -> None:
        self._codec = codec
        source = random.Random(seed)
        self._random = source
        self._view = fleet_view.FleetView()
        self._routes: route_table.RouteTable | None = None
        self._candidates = candidates.Candidates(data_centre, source)
        first_number = random.Random(seed).getrandbits(FIRST_NUMBER_BITS)
        self._owners = flow_owners.FlowOwners(codec, data_centre, first_number)
        self._pending: dict[int, pending_offer.PendingOffer] = {}
        self._by_flow: dict[bytes, pending_offer.PendingOffer] = {}
        self._next_id = source.getrandbits(31)
        self._started_at: float | None = None
        self.outcomes: dict[str, int] = {}
        self.dropped: dict[str, int] = {}

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration and at least one upstream are known."""
        return self._routes is not None and bool(self._view.upstreams)

    @property
    def needs_tick_soon(self) -> bool:
        """Return whether an offer or a search is pending."""
        return bool(self._pending or self._owners.is_searching)

    @property
    def open_flows(self) -> int:
        """Return the number of flows whose owner is known."""
        return len(self._owners)

    @property
    def searches(self) -> dict[str, int]:
        """Return the number of searches for owners by result."""
        return self._owners.searches

    @property
    def probes(self) -> int:
        """Return how many packets were sent to agents that are unsure of a flow."""
        return self._owners.probes

    def handle(self, now: float, event: msgspec.Struct) -> list[msgspec.Struct]:
        """Handle one event; see `core.Core.handle`."""
        if self._started_at is None:
            self._started_at = now
        if isinstance(event, caller_packet.CallerPacket):
            return self._from_caller(now, event.data)
        if isinstance(event, node_datagram.NodeDatagram):
            return self._from_node(now, event)
        if isinstance(event, tick.Tick):
            return self._tick(now)
        if isinstance(event, fleet_changed.FleetChanged):
            return self._change_view(event.view)
        raise TypeError(type(event))

    def _change_view(self, view: fleet_view.FleetView) -> Actions:
        version = self._routes.version if self._routes is not None else 0
        self._view = view
        self._candidates.update(view.upstreams, view.zones_out)
        self._owners.change_view(view)
        if view.configuration is not None and view.configuration.version > version:
            self._routes = route_table.RouteTable(view.configuration)
        return []

    def _from_caller(self, now: float, data: bytes) -> Actions:
        segment = self._codec.from_caller(data)
        if isinstance(segment, failure.Failure):
            return self._drop(str(segment.reason))
        if segment.is_open:
            return self._open(now, segment)
        if segment.is_open_reply:
            return self._drop("forged handshake")
        owner = self._owners.get(segment.flow)
        if owner is None:
            return self._find_owner(now, segment)
        owner.last_at = now
        message = stream_codec.encode(carry.Carry(data))
        return [send_node.SendNode(owner.address, message)]

    def _drop(self, reason: str) -> Actions:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1
        return []

    # Owners of open flows

    def _find_owner(self, now: float, segment: segment.Segment) -> Actions:
        """Ask all upstreams that the route allows for the owner of a flow."""
        matched_route = (
            self._routes.find(segment.flow) if self._routes is not None else None
        )
        if matched_route is None:
            return self._drop("no route")
        services = tuple(s.name for s in matched_route.services)
        return self._owners.search(now, segment, services)

    def _record_owner(self, now: float, flow: bytes, address: Address) -> None:
        self._owners.record(now, flow, address)

    def _from_node(self, now: float, event: node_datagram.NodeDatagram) -> Actions:
        message = stream_codec.decode(event.data)
        source = (event.host, event.port)
        if isinstance(message, verdict.Verdict):
            return self._handle_verdict(now, source, message)
        if isinstance(message, holdings.Holdings):
            if any(len(key) != stream_key.SIZE for key in message.owned):
                return self._drop("malformed key")
            return self._owners.record_holdings(now, source, message)
        if isinstance(message, not_owned.NotOwned):
            return self._handle_not_owned(now, source, message.packet)
        if isinstance(message, failure.Failure):
            return self._drop(str(message.reason))
        return self._drop("message for an agent")

    def _handle_not_owned(self, now: float, source: Address, packet: bytes) -> Actions:
        segment = self._codec.from_caller(packet)
        if isinstance(segment, failure.Failure):
            return self._drop(str(segment.reason))
        self._owners.forget(now, segment.flow, source)
        return self._find_owner(now, segment)

    # Placement of new flows

    def _open(self, now: float, segment: segment.Segment) -> Actions:
        if self._routes is None:
            return self._drop("no configuration")
        matched_route = self._routes.find(segment.flow)
        if matched_route is None:
            return self._reject(segment.flow, {"reason": "no route"})
        if segment.flow in self._by_flow:
            return []
        service = route_table.choose_service(matched_route, segment.flow)
        pending = pending_offer.PendingOffer(
            now, segment.flow, segment.data, service, matched_route.timeout_ms / 1000
        )
        self._next_id += 1
        pending.offer_id = self._next_id
        self._by_flow[segment.flow] = pending
        owner = self._owners.get(segment.flow)
        name = self._candidates.name_at(owner.address) if owner is not None else ""
        if name:
            # A repeated opening packet goes to the agent that accepted the first one.
            return self._offer(now, pending, name)
        return self._offer_next(now, pending)

    def _offer_next(self, now: float, pending: pending_offer.PendingOffer) -> Actions:
        name = self._candidates.best(now, pending.service, pending.tried)
        if name:
            return self._offer(now, pending, name)
        if not pending.may_wait and self._candidates.knows(pending.best):
            pending.may_wait = True
            return self._offer(now, pending, pending.best)
        if self._may_hold(now, pending):
            self._pending[pending.offer_id] = pending
            pending.retry_at = now + HOLD_STEP_SECONDS
            return []
        return self._refuse(now, pending)

    def _may_hold(self, now: float, pending: pending_offer.PendingOffer) -> bool:
        """Return whether an upstream may become known in time."""
        has_just_started = now - (self._started_at or now) < START_SECONDS
        is_unknown = not self._candidates.knows_service(pending.service)
        is_incomplete = has_just_started and is_unknown
        is_starting = self._candidates.has_starting(now, pending.service)
        is_in_time = now - pending.started_at < HOLD_SECONDS
        return is_in_time and (is_starting or is_incomplete)

    def _retry(self, now: float, pending: pending_offer.PendingOffer) -> Actions:
        pending.retry_at = 0.0
        pending.tried.clear()
        pending.best = ""
        pending.may_wait = False
        return self._offer_next(now, pending)

    def _offer(
        self, now: float, pending: pending_offer.PendingOffer, name: str
    ) -> Actions:
        self._pending.pop(pending.offer_id, None)
        self._next_id += 1
        pending.offer_id = self._next_id
        pending.asked_at = now
        pending.target = name
        pending.is_queued = False
        pending.tried.add(name)
        self._pending[pending.offer_id] = pending
        version = self._routes.version if self._routes is not None else 0
        message = offer.Offer(
            pending.offer_id, version, pending.may_wait, pending.packet
        )
        address = self._candidates.address(name)
        return [send_node.SendNode(address, stream_codec.encode(message))]

    def _handle_verdict(
        self, now: float, source: Address, message: verdict.Verdict
    ) -> Actions:
        name = self._candidates.name_at(source)
        if name:
            self._candidates.record_verdict(now, name, message)
        pending = self._pending.get(message.offer_id)
        if pending is None:
            return []
        result = outcome.Outcome(message.outcome)
        self._count(result.name)
        if result is outcome.Outcome.QUEUED:
            pending.is_queued = True
            return []
        if result is outcome.Outcome.ACCEPTED:
            return self._place(now, pending, source)
        pending.reasons[result.name] = pending.reasons.get(result.name, 0) + 1
        wait = (message.wait_ms + message.service_ms) / 1000
        if result is outcome.Outcome.BUSY and wait < pending.best_wait:
            pending.best, pending.best_wait = name, wait
        return self._offer_next(now, pending)

    def _place(
        self, now: float, pending: pending_offer.PendingOffer, source: Address
    ) -> Actions:
        self._remove_pending(pending)
        self._record_owner(now, pending.flow, source)
        held = now - pending.started_at
        fields: Fields = {
            **self._placement_fields(now, pending),
            "flow": stream_key.text(pending.flow),
            "agent": pending.target,
        }
        return [
            histogram_sample.HistogramSample("placement_seconds", held),
            log_line.LogLine("info", "flow.placed", fields),
        ]

    def _placement_fields(
        self, now: float, pending: pending_offer.PendingOffer
    ) -> Fields:
        """Return the log fields common to placed and refused flows."""
        return {
            "service": pending.service,
            "tried": len(pending.tried),
            "held_ms": int((now - pending.started_at) * 1000),
            "version": self._routes.version if self._routes is not None else 0,
            **{f"said_{k.lower()}": v for k, v in pending.reasons.items()},
        }

    def _refuse(self, now: float, pending: pending_offer.PendingOffer) -> Actions:
        self._remove_pending(pending)
        fields: Fields = {
            "reason": "no upstream takes it",
            **self._placement_fields(now, pending),
        }
        return self._reject(pending.flow, fields)

    def _reject(self, flow: bytes, fields: Fields) -> Actions:
        """Reset a flow that has not opened, so no request of it has run."""
        self._count("REFUSED")
        host = stream_key.caller(flow)[0]
        fields = {"flow": stream_key.text(flow), **fields}
        return [
            send_caller.SendCaller(host, self._codec.reset(flow, 0)),
            log_line.LogLine("info", "flow.refused", fields),
        ]

    def _remove_pending(self, pending: pending_offer.PendingOffer) -> None:
        self._pending.pop(pending.offer_id, None)
        self._by_flow.pop(pending.flow, None)

    def _count(self, name: str) -> None:
        self.outcomes[name] = self.outcomes.get(name, 0) + 1

    def _tick(self, now: float) -> Actions:
        actions: Actions = []
        for pending in list(self._pending.values()):
            if pending.retry_at:
                if now >= pending.retry_at:
                    actions += self._retry(now, pending)
                continue
            unanswered = now - pending.asked_at
            if unanswered < (QUEUED_SECONDS if pending.is_queued else OFFER_SECONDS):
                continue
            self._candidates.record_timeout(now, pending.target)
            pending.reasons["SILENT"] = pending.reasons.get("SILENT", 0) + 1
            if now - pending.started_at > QUEUED_SECONDS:
                actions += self._refuse(now, pending)
            else:
                actions += self._offer_next(now, pending)
        idle = self._routes.idle_seconds if self._routes else DEFAULT_IDLE_SECONDS
        self._owners.sweep(now, idle)
        return actions + self._owners.tick(now)
