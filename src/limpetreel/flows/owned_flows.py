"""Flows that an agent owns."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.flows import flow_key

MAX_OWNED = 16_384
"""Limit on the flows of one agent; new flows are refused at this number."""
IDLE_SECONDS = 600.0


class OwnedFlows:
    """Flows of one agent, least recently used first."""

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
        """Add a flow or record its use."""
        first_and_last_use = self._flows.get(flow)
        if first_and_last_use is None:
            self._flows[flow] = [now, now]
            self._by_bucket.setdefault(flow.bucket(), {})[flow] = None
            return
        first_and_last_use[1] = now
        self._flows.move_to_end(flow)

    def last_use(self) -> float:
        """Return the time of the last use of any flow, or minus infinity."""
        if not self._flows:
            return float("-inf")
        return next(reversed(self._flows.values()))[1]

    def held_ms(self, now: float, flow: flow_key.FlowKey) -> int:
        """Return the time for which a flow has been owned; 0 if it is not owned."""
        first_and_last_use = self._flows.get(flow)
        return int((now - first_and_last_use[0]) * 1000) if first_and_last_use else 0

    def in_bucket(self, bucket: int) -> list[flow_key.FlowKey]:
        """Return the flows of a bucket."""
        return list(self._by_bucket.get(bucket, ()))

    def buckets(self) -> list[int]:
        """Return the buckets with flows."""
        return sorted(self._by_bucket)

    def expire(self, now: float) -> None:
        """Remove flows without packets for `IDLE_SECONDS`."""
        while self._flows:
            flow, first_and_last_use = next(iter(self._flows.items()))
            if first_and_last_use[1] + IDLE_SECONDS > now:
                return
            del self._flows[flow]
            in_bucket = self._by_bucket[flow.bucket()]
            del in_bucket[flow]
            if not in_bucket:
                del self._by_bucket[flow.bucket()]

    def restart_ages(self, now: float) -> None:
        """Restart the ownership time of all flows at the current time.

        While this agent was lost, its flows may have had another owner.
        """
        for first_and_last_use in self._flows.values():
            first_and_last_use[0] = now

    def clear(self) -> None:
        """Remove all flows."""
        self._flows.clear()
        self._by_bucket.clear()
