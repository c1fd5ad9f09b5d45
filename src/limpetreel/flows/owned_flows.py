"""Flows that an agent owns."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.flows import flow_key

MAX_OWNED = 16_384
"""Flows that one agent owns at most; above it, new flows are refused."""
IDLE_SECONDS = 600.0


class OwnedFlows:
    """Flows of one agent, the least recently used first."""

    def __init__(self) -> None:
        self._flows: collections.OrderedDict[flow_key.FlowKey, list[float]]
        self._flows = collections.OrderedDict()
        self._by_bucket: dict[int, dict[flow_key.FlowKey, None]] = {}

    def __contains__(self, flow: object) -> bool:
        """Return whether a flow is owned."""
        return flow in self._flows

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._flows)

    def use(self, now: float, flow: flow_key.FlowKey) -> None:
        """Add a flow or note that it was used."""
        times = self._flows.get(flow)
        if times is None:
            self._flows[flow] = [now, now]
            self._by_bucket.setdefault(flow.bucket(), {})[flow] = None
            return
        times[1] = now
        self._flows.move_to_end(flow)

    def last_use(self) -> float:
        """Return when a flow was last used, in seconds; minus infinity if never."""
        if not self._flows:
            return float("-inf")
        return next(reversed(self._flows.values()))[1]

    def held_ms(self, now: float, flow: flow_key.FlowKey) -> int:
        """Return for how long a flow has been owned, 0 if it is not."""
        times = self._flows.get(flow)
        return int((now - times[0]) * 1000) if times else 0

    def in_bucket(self, bucket: int) -> list[flow_key.FlowKey]:
        """Return the flows of a bucket."""
        return list(self._by_bucket.get(bucket, ()))

    def buckets(self) -> list[int]:
        """Return the buckets with flows."""
        return sorted(self._by_bucket)

    def expire(self, now: float) -> None:
        """Forget flows without packets for `IDLE_SECONDS`."""
        while self._flows:
            flow, times = next(iter(self._flows.items()))
            if times[1] + IDLE_SECONDS > now:
                return
            del self._flows[flow]
            in_bucket = self._by_bucket[flow.bucket()]
            del in_bucket[flow]
            if not in_bucket:
                del self._by_bucket[flow.bucket()]

    def restart_ages(self, now: float) -> None:
        """Count the time for which flows have been owned from now on.

        While this agent was lost, its flows may have had another owner.
        """
        for times in self._flows.values():
            times[0] = now

    def clear(self) -> None:
        """Forget all flows."""
        self._flows.clear()
        self._by_bucket.clear()
