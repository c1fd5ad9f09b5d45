"""Requests that occupy the upstream's slots, and those in its own queue."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.streams import owned_flow
    from limpetreel.streams.serving import capacity

AVERAGING_SECONDS = 2.0
"""Time constant of the utilisation. It spans some tens of requests, and follows a
demand whose swings last several seconds."""


class _Utilisation:
    """Exponentially weighted average over time of the share of busy slots."""

    def __init__(self) -> None:
        self._average = 0.0
        self._share = 0.0
        self._since: float | None = None

    def record(self, now: float, share: float) -> None:
        """Record the share of busy slots from now on, between 0 and 1."""
        if share == self._share and self._since is not None:
            return
        self._average = self._average_at(now)
        self._share = share
        self._since = now

    def percent(self, now: float) -> int:
        """Return the average at a time in percent."""
        return round(100 * self._average_at(now))

    def _average_at(self, now: float) -> float:
        if self._since is None:
            return 0.0
        decay = math.exp(min(0.0, self._since - now) / AVERAGING_SECONDS)
        return self._share + decay * (self._average - self._share)


class SlotOccupancy:
    """Follows which requests the upstream processes.

    An upstream with free slots starts a request when it ends; otherwise the request
    waits in the upstream's queue, first in, first out. The time in that queue is no
    service time.

    Parameters
    ----------
    capacity : Capacity
        Tells the number of slots.
    """

    def __init__(self, capacity: capacity.Capacity) -> None:
        self._capacity = capacity
        self._serving: dict[owned_flow.OwnedFlow, float] = {}
        self._queued: dict[owned_flow.OwnedFlow, None] = {}
        self._utilisation = _Utilisation()
        self._changed_at = 0.0

    def begin(self, now: float, flow: owned_flow.OwnedFlow) -> None:
        """Record that the request of a flow is complete at the upstream."""
        if len(self._serving) < self._capacity.slots:
            self._serving[flow] = flow.data_at
            self._record(now)
        else:
            self._queued[flow] = None

    def end(self, now: float, flow: owned_flow.OwnedFlow) -> float | None:
        """Record the start of a response, or that a request is abandoned.

        Returns
        -------
        float or None
            Time at which the request was taken into service; None if it was not, as
            when the upstream sheds it.
        """
        started_at = self._serving.pop(flow, None)
        if started_at is None:
            self._queued.pop(flow, None)
            return None
        while self._queued and len(self._serving) < self._capacity.slots:
            following = next(iter(self._queued))
            del self._queued[following]
            self._serving[following] = now
        self._record(now)
        return started_at

    def forget(self, flow: owned_flow.OwnedFlow) -> None:
        """Remove a flow that the upstream does not hold any more."""
        self.end(max(self._changed_at, flow.last_at), flow)

    def clear(self) -> None:
        """Remove all flows."""
        self._serving.clear()
        self._queued.clear()
        self._record(self._changed_at)

    def utilisation(self, now: float) -> int:
        """Return the share of slot time of the last seconds in service, in percent."""
        return self._utilisation.percent(now)

    def _record(self, now: float) -> None:
        self._changed_at = now
        busy, slots = len(self._serving), self._capacity.slots
        self._utilisation.record(now, busy / slots if busy < slots else 1.0)
