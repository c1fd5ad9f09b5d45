"""Decision whether an upstream takes a new flow now, later or not at all."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams.messages import outcome

if TYPE_CHECKING:
    from limpetreel.configuration import route
    from limpetreel.streams import (
        capacity,
        flow_set,
        opening_queue,
        route_table,
        start_rate,
        upstream_watch,
    )

HANDSHAKE_SECONDS = 0.02
"""Part of the answer time that the handshake and the way of the answer take."""
LONG_SERVICE_FACTOR = 3
"""Time of a long request, as a multiple of the mean; few take longer."""
MAX_WAIT_SECONDS = 1.2
"""Callers give an attempt up after 1.4 s; the rest is for the handshake."""


class FlowAdmission:
    """Compares the state of the upstream and its flows with its limits.

    Parameters
    ----------
    service : str
        Service of the upstream.
    flows : FlowSet
        Flows of the upstream.
    queue : OpeningQueue
        Flows that wait for a slot.
    room : Capacity
        Estimate of what the upstream can take.
    starts : StartRate
        New flows of the last second.
    watch : UpstreamWatch
        State of the upstream.
    """

    def __init__(
        self,
        service: str,
        flows: flow_set.FlowSet,
        queue: opening_queue.OpeningQueue,
        room: capacity.Capacity,
        starts: start_rate.StartRate,
        watch: upstream_watch.UpstreamWatch,
    ) -> None:
        self._service = service
        self._flows = flows
        self._queue = queue
        self._room = room
        self._starts = starts
        self._watch = watch
        self.routes: route_table.RouteTable | None = None

    def refusal(
        self, now: float, flow: bytes, version: int, is_accepting: bool
    ) -> outcome.Outcome | None:
        """Return why a new flow is not opened now, None if it is.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        flow : bytes
            Key of the flow.
        version : int
            Version of the configuration that the entry decided by.
        is_accepting : bool
            Whether the upstream and its zone take new flows at all.
        """
        if self.routes is None or self._watch.status is None:
            return outcome.Outcome.STARTING
        if not is_accepting:
            return outcome.Outcome.CLOSED
        way = self.routes.find(flow)
        if way is None or not way.allows(self._service):
            is_behind = self.routes.version < version
            return outcome.Outcome.STALE if is_behind else outcome.Outcome.NO_ROUTE
        if self._watch.is_blocked(now):
            return outcome.Outcome.UNRESPONSIVE
        limits = self.routes.service(self._service)
        if limits is not None and len(self._flows) >= limits.max_connections:
            return outcome.Outcome.FULL
        if not self._has_cold_room(now):
            return outcome.Outcome.WARMING
        if self._flows.occupied >= self._room.limit() or len(self._queue):
            return outcome.Outcome.BUSY
        return None

    def can_wait(self, way: route.Route) -> bool:
        """Return whether a new flow that waits would be answered in time."""
        wait = self.wait_seconds(way.priority)
        return wait <= self.patience(way) and not self._queue.is_full

    def patience(self, way: route.Route) -> float:
        """Return for how long a flow may wait and still be answered in time.

        Answers that come later serve few callers, and the slots that they take make
        those behind them late as well.
        """
        service = LONG_SERVICE_FACTOR * self._room.service_seconds
        spare = way.answer_ms / 1000 - service - HANDSHAKE_SECONDS
        return min(MAX_WAIT_SECONDS, max(0.0, spare))

    def wait_seconds(self, priority: int) -> float:
        """Return the expected wait of a new flow of a priority."""
        over = self._flows.occupied - self._room.limit()
        ahead = self._queue.count_ahead(priority)
        return self._room.wait_seconds(max(0, over) + ahead)

    def may_serve_waiting(self, now: float) -> bool:
        """Return whether the next waiting flow can be opened."""
        if not len(self._queue) or self._flows.occupied >= self._room.limit():
            return False
        return self._has_cold_room(now)

    def _has_cold_room(self, now: float) -> bool:
        if not self._watch.is_cold(now):
            return True
        limits = self.routes.service(self._service) if self.routes else None
        return self._starts.has_room(now, limits.cold_per_second if limits else 0.0)
