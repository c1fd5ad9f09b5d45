"""Openings and requests that wait for a slot of the upstream."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, TypeVar

from limpetreel.streams import owned_flow
from limpetreel.streams.serving import held_request, waiting_lane, waiting_opening

if TYPE_CHECKING:
    from collections.abc import Callable

    from limpetreel.configuration import route
    from limpetreel.streams import segment
    from limpetreel.streams.serving import waiting

    Lane = waiting_lane.WaitingLane

_Item = TypeVar("_Item", bound="waiting.Waiting")

MAX_OPENINGS = 512
"""Bounds the memory. Callers would time out before a longer queue is served."""
MAX_REQUESTS = 512
"""Bounds the memory and the time that a tick takes to find what has expired."""
MAX_BYTES = 2_000_000
"""Bytes of held requests."""


class WaitingQueue:
    """Common queue of openings and requests, with a lane of each for every route.

    The lane that is served next is one that got nothing for too long; then one whose
    first item can be answered in time; then the one of the highest priority; then the
    one whose first item arrived first.

    Openings that may not be answered in time are served after all others, by priority
    and the latest arrival first, which alone may still be in time. In order of arrival
    every caller would wait for as long as a backlog lasts, and all would be late.
    """

    def __init__(self) -> None:
        self._lanes: dict[tuple[bytes, bool], Lane] = {}
        self._late: dict[int, waiting_opening.WaitingOpening] = {}
        self._openings: dict[bytes, waiting_opening.WaitingOpening] = {}
        self._requests: dict[bytes, held_request.HeldRequest] = {}
        self._bytes = 0
        self._numbers = itertools.count(1)

    def __len__(self) -> int:
        """Return the number of waiting openings and requests."""
        return len(self._openings) + len(self._requests)

    def get_opening(self, flow: bytes) -> waiting_opening.WaitingOpening | None:
        """Return the opening of a flow, None if it does not wait."""
        return self._openings.get(flow)

    def get_request(
        self, flow: owned_flow.OwnedFlow
    ) -> held_request.HeldRequest | None:
        """Return the request of a flow, None if none waits."""
        held = self._requests.get(flow.key)
        return held if held is not None and held.flow is flow else None

    @property
    def has_openings(self) -> bool:
        """Return whether openings wait."""
        return bool(self._openings)

    @property
    def is_full(self) -> bool:
        """Return whether no further opening may wait."""
        return len(self._openings) >= MAX_OPENINGS

    @property
    def requests(self) -> int:
        """Return the number of waiting requests."""
        return len(self._requests)

    def count_ahead(self, priority: int) -> int:
        """Return how many would be served before a new one of a priority."""
        return sum(
            len(lane)
            for lane in self._lanes.values()
            if len(lane) and lane.first.route.priority <= priority
        )

    def count_ahead_in_starved(self, now: float, flow: bytes) -> int | None:
        """Return how many openings of a route wait if it is starved, else None."""
        lane = self._lanes.get((flow[owned_flow.ROUTE_BYTES], True))
        return len(lane) if lane is not None and lane.is_starved(now) else None

    def record_demand(self, now: float, flow: bytes, route: route.Route) -> None:
        """Record that an opening asked for a slot, whether it waits or not."""
        self._lane(flow, route, is_opening=True).record_demand(now)

    def record_served(self, now: float, flow: bytes, is_opening: bool) -> None:
        """Record that an opening or a request has got a slot without a wait."""
        lane = self._lanes.get((flow[owned_flow.ROUTE_BYTES], is_opening))
        if lane is not None:
            lane.record_served(now)

    def put_opening(self, item: waiting_opening.WaitingOpening, running: int) -> None:
        """Add an opening; see `WaitingLane.put` for `running`."""
        self._openings[item.key] = item
        self._put(item, running, is_opening=True)

    def put_late(self, item: waiting_opening.WaitingOpening) -> None:
        """Add an opening that may not be answered in time."""
        item.is_late = True
        item.number = next(self._numbers)
        self._openings[item.key] = item
        self._late[item.number] = item

    def put_request(
        self, item: held_request.HeldRequest, packet: segment.Segment, running: int
    ) -> bool:
        """Add a request with its first packet; return whether there was room."""
        earlier = self._requests.get(item.key)
        if earlier is not None:  # of a flow that has ended
            self.remove(earlier)
        if len(self._requests) >= MAX_REQUESTS or not self.hold(item, packet):
            return False
        self._requests[item.key] = item
        self._put(item, running, is_opening=False)
        return True

    def hold(self, item: held_request.HeldRequest, packet: segment.Segment) -> bool:
        """Add a packet to a request; return whether there was room."""
        has_room = self._bytes + len(packet.data) <= MAX_BYTES
        if not has_room or not item.has_room(packet):
            return False
        before = item.size
        item.add(packet)
        self._bytes += item.size - before
        return True

    def pop(
        self,
        now: float,
        response_seconds: float,
        may_serve: Callable[[float, waiting.Waiting, bool], bool],
    ) -> waiting.Waiting | None:
        """Remove and return the next opening or request, None if none may be served.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        response_seconds : float
            Expected time from a request to the start of its answer.
        may_serve : callable
            Returns whether the first item of a lane may be served now; its arguments
            are the time, the item and whether the lane got nothing for too long.
        """
        lanes = [
            lane
            for lane in self._lanes.values()
            if len(lane) and may_serve(now, lane.first, lane.is_starved(now))
        ]
        if not lanes:
            return self._pop_late(now, may_serve)
        answer_at = now + response_seconds
        item = min(lanes, key=lambda lane: _rank(now, answer_at, lane)).pop(now)
        self._forget(item)
        return item

    def _pop_late(
        self, now: float, may_serve: Callable[[float, waiting.Waiting, bool], bool]
    ) -> waiting.Waiting | None:
        latest = {item.route.priority: item for item in self._late.values()}
        for _, item in sorted(latest.items(), key=lambda entry: entry[0]):
            if may_serve(now, item, False):
                self.remove(item)
                self.record_served(now, item.key, is_opening=True)
                return item
        return None

    def remove(self, item: waiting.Waiting) -> None:
        """Remove an opening or a request that is not served."""
        if self._late.pop(item.number, None) is None:
            is_opening = isinstance(item, waiting_opening.WaitingOpening)
            self._lanes[item.key[owned_flow.ROUTE_BYTES], is_opening].remove(item)
        self._forget(item)

    def take_expired(self, now: float) -> list[waiting.Waiting]:
        """Remove and return what has waited for as long as it may, in order."""
        everything: tuple[waiting.Waiting, ...] = (
            *self._openings.values(),
            *self._requests.values(),
        )
        return self._take([w for w in everything if w.expires_at <= now])

    @property
    def has_late(self) -> bool:
        """Return whether openings wait that may not be answered in time."""
        return bool(self._late)

    def take_late(self) -> list[waiting.Waiting]:
        """Remove and return openings that may not be answered in time."""
        late: list[waiting.Waiting] = list(self._late.values())
        return self._take(late)

    def take_openings(self) -> list[waiting_opening.WaitingOpening]:
        """Remove and return all openings."""
        return self._take(list(self._openings.values()))

    def _take(self, items: list[_Item]) -> list[_Item]:
        for item in items:
            self.remove(item)
        return items

    def _put(self, item: waiting.Waiting, running: int, is_opening: bool) -> None:
        item.number = next(self._numbers)
        self._lane(item.key, item.route, is_opening).put(item, running)

    def _lane(self, flow: bytes, route: route.Route, is_opening: bool) -> Lane:
        key = flow[owned_flow.ROUTE_BYTES], is_opening
        lane = self._lanes.get(key)
        if lane is None:
            lane = self._lanes[key] = waiting_lane.WaitingLane()
        lane.set_time_limit(route.timeout_ms / 1000)
        return lane

    def _forget(self, item: waiting.Waiting) -> None:
        if isinstance(item, held_request.HeldRequest):
            self._requests.pop(item.key, None)
            self._bytes -= item.size
        else:
            self._openings.pop(item.key, None)


def _rank(now: float, answer_at: float, lane: Lane) -> tuple[bool, bool, int, int]:
    first = lane.first
    is_late = answer_at > first.answer_at
    return not lane.is_starved(now), is_late, first.route.priority, first.number
