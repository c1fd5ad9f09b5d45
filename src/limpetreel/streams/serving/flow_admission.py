"""Decision whether a new flow is opened now, queued or refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams import owned_flow
from limpetreel.streams.messages import outcome
from limpetreel.streams.serving import overload_detector

if TYPE_CHECKING:
    from limpetreel.configuration import route, service
    from limpetreel.streams import flow_set, route_table, upstream_state
    from limpetreel.streams.serving import (
        capacity,
        start_rate,
        waiting,
        waiting_queue,
    )

HANDSHAKE_SECONDS = 0.02
"""Part of the answer time that the handshake and the transfer of the answer take."""
LONG_SERVICE_FACTOR = 3
"""Time of a long request at the upstream as a multiple of the mean; few take longer."""
WAIT_SHARE = 0.5
"""Expected part of the longest wait up to which a flow is queued. Service times vary,
and a queue that fills the whole wait refuses some flows only at its end."""
HOLD_DIVISOR = 4
"""Part of the latency target for which a request may be held."""
MAX_HOLD_SECONDS = 0.5
"""Longest hold on routes whose latency target is seconds. Held packets are not
acknowledged, and the caller's second copy follows after 0.6 s."""
TICK_SECONDS = 0.02
"""Interval at which expired waits are found; a request is held for this much less."""
QUEUED_PER_SLOT = 4
"""Flows per slot up to which an upstream queues requests; it sheds above five."""
MAX_WAIT_SECONDS = 1.2
"""Callers time out an attempt after 1.4 s; the difference is for the handshake."""


class FlowAdmission:
    """Admission control for new flows of one upstream.

    Parameters
    ----------
    service : str
        Service of the upstream.
    flows : FlowSet
        Flows of the upstream.
    queue : WaitingQueue
        What waits for a slot.
    capacity : Capacity
        Estimate of the concurrent flows that the upstream can serve.
    starts : StartRate
        New flows of the last second.
    upstream : UpstreamState
        State of the upstream.
    """

    def __init__(
        self,
        service: str,
        flows: flow_set.FlowSet,
        queue: waiting_queue.WaitingQueue,
        capacity: capacity.Capacity,
        starts: start_rate.StartRate,
        upstream: upstream_state.UpstreamState,
    ) -> None:
        self._service = service
        self._flows = flows
        self._queue = queue
        self._capacity = capacity
        self._starts = starts
        self._upstream = upstream
        self._overload = overload_detector.OverloadDetector()
        self.routes: route_table.RouteTable | None = None

    def refusal(
        self,
        now: float,
        flow: bytes,
        version: int,
        is_accepting: bool,
        is_last_offer: bool = False,
    ) -> outcome.Outcome | None:
        """Return the reason not to open a new flow now, None if there is none.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        flow : bytes
            Key of the flow.
        version : int
            Version of the configuration that the entry used.
        is_accepting : bool
            Whether the upstream and its zone accept new flows.
        is_last_offer : bool
            Whether the entry refuses the flow unless this agent takes it.
        """
        if self.routes is None or self._upstream.status is None:
            return outcome.Outcome.STARTING
        if not is_accepting:
            return outcome.Outcome.CLOSED
        matched_route = self.routes.find(flow)
        if matched_route is None or not matched_route.allows(self._service):
            is_behind = self.routes.version < version
            return outcome.Outcome.STALE if is_behind else outcome.Outcome.NO_ROUTE
        if self._upstream.is_blocked(now):
            return outcome.Outcome.UNRESPONSIVE
        limits = self.routes.service(self._service)
        if self._is_full(limits):
            return outcome.Outcome.FULL
        if not self._has_cold_start_capacity(now):
            return outcome.Outcome.WARMING
        if not self.has_free_slot() or len(self._queue):
            return outcome.Outcome.BUSY
        is_repeatable = matched_route.kind.is_repeatable
        if not is_repeatable and not is_last_offer and self._upstream.is_unstable(now):
            return outcome.Outcome.BUSY
        return None

    def _is_full(self, limits: service.Service | None) -> bool:
        if limits is None or limits.max_connections is None:
            return False
        return self._flows.open_flows >= limits.max_connections

    def find_route(self, flow: bytes) -> route.Route | None:
        """Return the route of a flow, None if there is none."""
        return self.routes.find(flow) if self.routes is not None else None

    def has_free_slot(self) -> bool:
        """Return whether one more flow or request can be served now."""
        return self._flows.occupied < self._capacity.limit()

    def may_open_waiting(
        self, now: float, item: waiting.Waiting, is_starved: bool
    ) -> bool:
        """Return whether a waiting opening can be served now.

        Requests that were forwarded without a free slot are in the upstream's queue.
        They must not keep out what goes before them, as long as that can be answered in
        time behind them and the upstream's queue is not full.
        """
        if not self._has_cold_start_capacity(now):
            return False
        occupied = self._flows.occupied
        if occupied < self._capacity.limit():
            return True
        has_waited = now - item.arrived_at >= hold_seconds(item.route)
        forced = self._count_forced(item.key, item.route, has_waited, is_starved)
        if occupied - forced >= self._capacity.limit():
            return False
        service, slots = self._capacity.service_seconds, self._capacity.slots
        expected = service * (2 + (occupied - slots) / slots)
        return occupied < slots * QUEUED_PER_SLOT and now + expected <= item.answer_at

    def can_wait(self, now: float, matched_route: route.Route, flow: bytes) -> bool:
        """Return whether a queued flow would be answered in time.

        A route that got nothing for too long is served before all others.
        """
        ahead = self._queue.count_ahead_in_starved(now, flow)
        is_starved = ahead is not None
        if ahead is None:
            ahead = self._queue.count_ahead(matched_route.priority)
        forced = self._count_forced(flow, matched_route, True, is_starved)
        limit = WAIT_SHARE * self.max_wait_seconds(matched_route)
        return self._wait_seconds(ahead - forced) <= limit and not self._queue.is_full

    def record_refusal(self, now: float) -> None:
        """Record a new flow that was refused for lack of a slot."""
        self._overload.record_refusal(now)

    def record_late_served(self, now: float) -> None:
        """Record that a flow that waited past its latency target has got a slot."""
        self._overload.record_late_served(now, not self._queue.has_late)

    def is_overload_lasting(self, now: float) -> bool:
        """Return whether no flow should wait that cannot be answered in time."""
        if not self._queue.has_late:
            self._overload.record_late_gone()
        return self._overload.is_lasting(now)

    def can_wait_late(self, now: float, item: waiting.Waiting) -> bool:
        """Return whether an opening that misses its latency target should still wait.

        Its caller is still served within its time limit, as long as the peak passes
        before the caller gives the attempt up. A refused one returns at once, and uses
        up its attempts before the peak has passed.
        """
        if self._overload.is_lasting(now) or self._queue.is_full:
            return False
        left = self.late_expires_at(item) - now
        if self._wait_seconds(len(self._queue)) > left:
            return False
        self._overload.record_late(now)
        return True

    def late_expires_at(self, item: waiting.Waiting) -> float:
        """Return the time until which an opening may wait to be answered at all."""
        response = LONG_SERVICE_FACTOR * self._capacity.response_seconds()
        spare = item.route.timeout_ms / 1000 - response - HANDSHAKE_SECONDS
        return item.arrived_at + min(MAX_WAIT_SECONDS, spare)

    def _count_forced(
        self, key: bytes, matched_route: route.Route, has_waited: bool, is_starved: bool
    ) -> int:
        """Return how many of the forced requests an opening goes before.

        These are requests of lower priority; once the opening has waited for as long as
        they did, those of the same priority on other routes; all if it is starved.
        """
        address, priority = key[owned_flow.ROUTE_BYTES], matched_route.priority
        return sum(
            is_starved
            or (flow.forced_priority or 0) > priority
            or (
                has_waited
                and flow.forced_priority == priority
                and flow.route_address != address
            )
            for flow in self._flows.forced()
        )

    def max_wait_seconds(self, matched_route: route.Route) -> float:
        """Return how long a flow may wait and still be answered in time.

        Few callers still wait for a later answer, and the slot that it occupies delays
        the flows behind it as well.
        """
        response = LONG_SERVICE_FACTOR * self._capacity.response_seconds()
        spare = matched_route.answer_ms / 1000 - response - HANDSHAKE_SECONDS
        return min(MAX_WAIT_SECONDS, max(0.0, spare))

    def wait_seconds(self, priority: int) -> float:
        """Return the expected wait of a new flow of a priority."""
        return self._wait_seconds(self._queue.count_ahead(priority))

    def _wait_seconds(self, ahead: int) -> float:
        excess = self._flows.occupied - self._capacity.limit()
        return self._capacity.wait_seconds(max(0, max(0, excess) + ahead))

    def _has_cold_start_capacity(self, now: float) -> bool:
        if not self._upstream.is_cold(now):
            return True
        limits = self.routes.service(self._service) if self.routes else None
        return self._starts.has_capacity(now, limits.cold_per_second if limits else 0.0)


def hold_seconds(matched_route: route.Route) -> float:
    """Return how long a request on an open flow may be held."""
    seconds = matched_route.answer_ms / 1000 / HOLD_DIVISOR - TICK_SECONDS
    return min(MAX_HOLD_SECONDS, seconds)
