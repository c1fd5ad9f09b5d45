"""Placement of new flows at an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams import route_table, stream_key
from limpetreel.streams.actions import send_caller, send_node
from limpetreel.streams.messages import offer, outcome, stream_codec
from limpetreel.streams.placement import long_routes, pending_offer, placement_lines

if TYPE_CHECKING:
    from collections.abc import Callable

    import msgspec

    from limpetreel.configuration import route
    from limpetreel.streams import segment, segment_codec
    from limpetreel.streams.messages import verdict
    from limpetreel.streams.placement import candidates, known_services

    Actions = list[msgspec.Struct]
    Address = tuple[str, int]

OFFER_SECONDS = 0.08
"""Time limit for the answer to an offer: a round trip between data centres, the
wait for the upstream's handshake, and a pause of a busy machine."""
QUEUED_SECONDS = 1.25
"""Time after which a queued flow is refused even if the agent has not answered; the
caller times out 1.4 s after its first packet."""
HOLD_SECONDS = 0.4
"""Time for which a flow is held while upstreams may become known. A refused caller
retries at once, and would use up its retries before an outage ends."""
HOLD_STEP_SECONDS = 0.05
UNRESPONSIVE_STEP_SECONDS = 0.1
"""Time between offers of a flow while no upstream of its service responds. Upstreams
stall for tenths of a second; more offers of all callers would load the entry."""
MAX_BUSY_ANSWERS = 4
"""Agents without a free slot after which a flow is only offered for waiting. After four
random ones few others are free, and each further offer delays the refusal."""
MAX_OFFERS = 8
"""Offers of a flow in all. Answers that say nothing about load, such as those of cold
or draining upstreams, allow more than four."""
WITHOUT_ROUTE = frozenset(
    (outcome.Outcome.NO_ROUTE, outcome.Outcome.STALE, outcome.Outcome.STARTING)
)
"""Answers of agents that know nothing about the route."""


class FlowPlacement:
    """Offers new flows to agents until one accepts, or refuses them.

    Parameters
    ----------
    codec : SegmentCodec
        Packet format.
    candidates : Candidates
        Known agents.
    services : KnownServices
        Tells whether upstreams of a service may become known.
    first_id : int
        Number before the identifier of the first offer. Answers to offers of an
        earlier process must not match, so it is random.
    record_owner : callable
        Called with the time, the flow and the agent's address when a flow is placed.
    """

    def __init__(
        self,
        codec: segment_codec.SegmentCodec,
        candidates: candidates.Candidates,
        services: known_services.KnownServices,
        first_id: int,
        record_owner: Callable[[float, bytes, Address], None],
    ) -> None:
        self._codec = codec
        self._candidates = candidates
        self._services = services
        self._next_id = first_id
        self._record_owner = record_owner
        self._pending: dict[int, pending_offer.PendingOffer] = {}
        self._by_flow: dict[bytes, pending_offer.PendingOffer] = {}
        self._unanswered: dict[int, pending_offer.PendingOffer] = {}
        # Flows that nobody else takes, while agents have not answered.
        self._awaiting: dict[bytes, pending_offer.PendingOffer] = {}
        self._long_routes = long_routes.LongRoutes()
        self.lines = placement_lines.PlacementLines()
        self._routes: route_table.RouteTable | None = None
        self.outcomes: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of flows that are being placed."""
        return len(self._pending)

    def __contains__(self, flow: bytes) -> bool:
        """Return whether a flow is being placed."""
        return flow in self._by_flow

    def find_route(self, flow: bytes) -> route.Route | None:
        """Return the route of a flow, None if there is none."""
        return self._routes.find(flow) if self._routes is not None else None

    def configure(self, routes: route_table.RouteTable) -> None:
        """Apply a configuration."""
        self._routes = routes
        self.lines.version = routes.version
        # Routes may have gone; each is learned again with the next answer.
        self._long_routes = long_routes.LongRoutes()

    def open(self, now: float, segment: segment.Segment, owner: str) -> Actions:
        """Find an upstream for the flow of an opening packet.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        segment : Segment
            The opening packet.
        owner : str
            Agent that accepted an earlier copy of the packet, empty if none did.
        """
        matched_route = self.find_route(segment.flow)
        if matched_route is None:
            line = self.lines.without_route(segment.flow)
            return [*self.refuse(segment), *line]
        awaiting = self._awaiting.pop(segment.flow, None)
        if awaiting is not None:
            return self._retry(now, awaiting)
        if segment.flow in self._by_flow:
            return []
        service = route_table.choose_service(matched_route, segment.flow)
        pending = pending_offer.PendingOffer(
            now,
            segment.flow,
            segment.data,
            matched_route.name,
            service,
            matched_route.answer_ms / 1000,
            segment.is_open_copy,
            MAX_OFFERS,
        )
        self._renumber(pending)
        self._by_flow[segment.flow] = pending
        if owner:
            return self._offer(now, pending, owner)
        return self._offer_next(now, pending)

    def record_caller_packet(self, segment: segment.Segment) -> None:
        """Record a packet of a caller that ends or has completed the handshake.

        An agent has opened the flow although its answer has not arrived, or the caller
        has given up: further offers would open it twice, and a reset would be wrong.
        """
        pending = self._by_flow.get(segment.flow)
        if pending is not None:
            pending.is_decided = True

    def _offer_next(self, now: float, pending: pending_offer.PendingOffer) -> Actions:
        if pending.is_decided:
            return self._forget(now, pending)
        name = self._next_agent(now, pending)
        if name:
            return self._offer(now, pending, name)
        if self._may_hold(now, pending):
            self._renumber(pending)
            self._pending[pending.offer_id] = pending
            step = HOLD_STEP_SECONDS
            if pending.is_unresponsive:
                step = UNRESPONSIVE_STEP_SECONDS
            pending.retry_at = now + step
            return []
        if self._services.may_appear(now, pending.service):
            return self._give_up(now, pending)
        return self._refuse(now, pending)

    def _next_agent(self, now: float, pending: pending_offer.PendingOffer) -> str:
        """Return the agent for the next offer, empty if none can serve the flow."""
        if pending.may_wait or pending.offers >= pending.max_offers:
            return ""
        if pending.busy_answers < MAX_BUSY_ANSWERS:
            is_long = self._long_routes.is_long(pending.route)
            name = self._candidates.choose(now, pending.service, pending.tried, is_long)
            if name:
                return name
        pending.may_wait = True
        return self._candidates.least_wait(now, pending.service, pending.target_seconds)

    def _may_hold(self, now: float, pending: pending_offer.PendingOffer) -> bool:
        """Return whether an upstream may become known in time."""
        if now - pending.started_at >= HOLD_SECONDS:
            return False
        if pending.is_unresponsive:
            return True
        is_starting = self._candidates.has_starting(now, pending.service)
        return is_starting or self._services.may_appear(now, pending.service)

    def _retry(self, now: float, pending: pending_offer.PendingOffer) -> Actions:
        pending.restart()
        if pending.is_unresponsive:
            # One offer shows whether the stall is over; more would load the entry.
            pending.max_offers = 1
        return self._offer_next(now, pending)

    def _offer(
        self, now: float, pending: pending_offer.PendingOffer, name: str
    ) -> Actions:
        self._renumber(pending)
        pending.asked_at = now
        pending.target = name
        pending.is_queued = False
        pending.tried.add(name)
        pending.offers += 1
        self._candidates.record_offer(name)
        self._pending[pending.offer_id] = pending
        assert self._routes is not None
        message = offer.Offer(
            pending.offer_id, self._routes.version, pending.may_wait, pending.packet
        )
        address = self._candidates.address(name)
        return [send_node.SendNode(address, stream_codec.encode(message))]

    def _renumber(self, pending: pending_offer.PendingOffer) -> None:
        """Give a flow a new identifier, which answers to earlier offers lack."""
        self._pending.pop(pending.offer_id, None)
        self._next_id += 1
        pending.offer_id = self._next_id

    def handle_verdict(
        self, now: float, source: Address, message: verdict.Verdict
    ) -> Actions:
        """Apply the answer to an offer."""
        name = self._candidates.name_at(source)
        actions = self._record_report(now, name, message) if name else []
        return actions + self._apply_answer(now, source, message)

    def _record_report(
        self, now: float, name: str, message: verdict.Verdict
    ) -> Actions:
        reason = self._candidates.record_verdict(now, name, message)
        if not reason:
            return []
        seconds = self._candidates.pause(name)
        return self.lines.avoided(name, reason, seconds, message)

    def _apply_answer(
        self, now: float, source: Address, message: verdict.Verdict
    ) -> Actions:
        pending = self._pending.get(message.offer_id)
        if pending is None:
            return self._apply_late_answer(now, source, message)
        self._end_offer(pending)
        result = outcome.Outcome(message.outcome)
        self._count(result.name)
        if result not in WITHOUT_ROUTE:
            self._long_routes.record(pending.route, message.is_long)
        if result is outcome.Outcome.QUEUED:
            pending.is_queued = True
            return []
        if result is outcome.Outcome.ACCEPTED:
            return self._place(now, pending, source)
        pending.reasons[result.name] = pending.reasons.get(result.name, 0) + 1
        if not pending.is_unresponsive:
            pending.max_offers = MAX_OFFERS
        if result is outcome.Outcome.BUSY:
            self._record_busy(now, pending)
        elif result is outcome.Outcome.CLOSED and pending.may_wait:
            # Its upstream drains or its zone is out; the flow may wait at another one.
            pending.restart()
        return self._offer_next(now, pending)

    def _apply_late_answer(
        self, now: float, source: Address, message: verdict.Verdict
    ) -> Actions:
        """Place a flow that an agent accepted after it was offered elsewhere.

        The caller may have completed the handshake, so a reset would be wrong.
        """
        pending = self._unanswered.get(message.offer_id)
        if pending is None or message.outcome is outcome.Outcome.QUEUED:
            return []
        is_awaiting = pending.flow in self._awaiting
        if message.outcome is not outcome.Outcome.ACCEPTED:
            pending.unanswered.remove(message.offer_id)
            del self._unanswered[message.offer_id]
            if is_awaiting and not pending.unanswered:
                return self._refuse(now, pending)
            return []
        if not pending.retry_at and not is_awaiting:
            self._end_offer(pending)
        self._count("LATE")
        pending.target = self._candidates.name_at(source)
        return self._place(now, pending, source)

    def _end_offer(self, pending: pending_offer.PendingOffer) -> None:
        """Count the offer as answered; a queued one is part of the agent's report."""
        if not pending.is_queued:
            self._candidates.record_answer(pending.target)

    def _record_busy(self, now: float, pending: pending_offer.PendingOffer) -> None:
        pending.busy_answers += 1
        if pending.may_wait:
            self._candidates.record_closed_queue(
                now, pending.target, pending.target_seconds
            )

    def _place(
        self, now: float, pending: pending_offer.PendingOffer, source: Address
    ) -> Actions:
        self._remove_pending(pending)
        self._record_owner(now, pending.flow, source)
        return self.lines.placed(now, pending)

    def _refuse(self, now: float, pending: pending_offer.PendingOffer) -> Actions:
        """Reset a flow that nobody takes, unless it may have opened."""
        if pending.is_decided:
            return self._forget(now, pending)
        if pending.unanswered and now - pending.started_at <= QUEUED_SECONDS:
            self._pending.pop(pending.offer_id, None)
            self._awaiting[pending.flow] = pending
            return []
        if pending.may_have_opened:
            reason = "another node may have placed it"
            return self._give_up(now, pending, reason)
        self._remove_pending(pending)
        known_busy = self._candidates.count_busy(now, pending.service)
        line = self.lines.refused(now, pending, known_busy)
        return [self._reset(pending.flow), *line]

    def _give_up(
        self,
        now: float,
        pending: pending_offer.PendingOffer,
        reason: str = "no upstream is known yet",
    ) -> Actions:
        """Forget a flow whose caller repeats its opening packet.

        A refused caller would use up its retries before any upstream is known.
        """
        self._remove_pending(pending)
        self._count("UNKNOWN")
        return self.lines.not_placed(now, pending, reason)

    def _forget(self, now: float, pending: pending_offer.PendingOffer) -> Actions:
        """Forget a flow that is open or given up; its owner is searched for."""
        self._remove_pending(pending)
        self._count("UNSEEN")
        return self.lines.opened_unseen(now, pending)

    def refuse(self, segment: segment.Segment) -> Actions:
        """Reset a flow that was not offered.

        For a copy of an opening packet another entry may have placed it.
        """
        return [] if segment.is_open_copy else [self._reset(segment.flow)]

    def _reset(self, flow: bytes) -> msgspec.Struct:
        """Return the reset of a flow that has not opened, so nothing of it has run."""
        self._count("REFUSED")
        host = stream_key.caller(flow)[0]
        return send_caller.SendCaller(host, self._codec.reset(flow, 0))

    def _remove_pending(self, pending: pending_offer.PendingOffer) -> None:
        self._pending.pop(pending.offer_id, None)
        self._by_flow.pop(pending.flow, None)
        self._awaiting.pop(pending.flow, None)
        for offer_id in pending.unanswered:
            self._unanswered.pop(offer_id, None)

    def _count(self, name: str) -> None:
        self.outcomes[name] = self.outcomes.get(name, 0) + 1

    def tick(self, now: float) -> Actions:
        """Offer flows elsewhere whose offers are unanswered."""
        actions: Actions = []
        for pending in list(self._awaiting.values()):
            if now - pending.started_at > QUEUED_SECONDS:
                actions += self._refuse(now, pending)
        for pending in list(self._pending.values()):
            if pending.retry_at:
                if now >= pending.retry_at:
                    actions += self._retry(now, pending)
                continue
            unanswered = now - pending.asked_at
            if unanswered < (QUEUED_SECONDS if pending.is_queued else OFFER_SECONDS):
                continue
            self._end_offer(pending)
            self._unanswered[pending.offer_id] = pending
            pending.unanswered.append(pending.offer_id)
            self._candidates.record_timeout(now, pending.target)
            pending.reasons["SILENT"] = pending.reasons.get("SILENT", 0) + 1
            is_late = now - pending.started_at > QUEUED_SECONDS
            if is_late and not pending.is_decided:
                actions += self._refuse(now, pending)
            else:
                actions += self._offer_next(now, pending)
        return actions
