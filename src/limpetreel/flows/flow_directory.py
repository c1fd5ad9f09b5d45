"""Directory of all buckets that an agent holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.flows import bucket_directory, flow_count

if TYPE_CHECKING:
    from limpetreel.flows import flow_key

MAX_FLOWS = 65_536
"""Flows up to which an agent places new ones. Flows that living owners report are
kept beyond it; they are bounded by `owned_flows.MAX_OWNED` for each member."""


class FlowDirectory:
    """Bucket directories with a bound on the flows of all of them."""

    def __init__(self, max_flows: int = MAX_FLOWS) -> None:
        self._max_flows = max_flows
        self._count = flow_count.FlowCount()
        self._buckets: dict[int, bucket_directory.BucketDirectory] = {}

    def __len__(self) -> int:
        """Return the number of flows."""
        return self._count.total

    @property
    def is_full(self) -> bool:
        """Whether new flows must be refused."""
        return len(self) >= self._max_flows

    def of(self, flow: flow_key.FlowKey) -> bucket_directory.BucketDirectory:
        """Return the directory of a flow's bucket."""
        return self.bucket(flow.bucket())

    def bucket(self, bucket: int) -> bucket_directory.BucketDirectory:
        """Return the directory of a bucket."""
        found = self._buckets.get(bucket)
        if found is None:
            found = bucket_directory.BucketDirectory(self._count)
            self._buckets[bucket] = found
        return found

    def drop_bucket(self, bucket: int) -> None:
        """Forget the flows of a bucket."""
        found = self._buckets.pop(bucket, None)
        if found is not None:
            found.clear()

    def expire(self, now: float) -> None:
        """Forget idle flows."""
        for found in self._buckets.values():
            found.expire(now)
