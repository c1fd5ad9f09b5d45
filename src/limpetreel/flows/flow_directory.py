"""Flow directories of all buckets of an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.flows import bucket_directory, flow_count

if TYPE_CHECKING:
    from limpetreel.flows import flow_key

MAX_FLOWS = 65_536
"""New flows are refused above this number. Flows reported by live owners are kept
beyond it; they are bounded by `owned_flows.MAX_OWNED` per member."""


class FlowDirectory:
    """Bucket directories with a common limit on the number of flows."""

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

    def for_flow(self, flow: flow_key.FlowKey) -> bucket_directory.BucketDirectory:
        """Return the directory of a flow's bucket."""
        return self.for_bucket(flow.bucket())

    def for_bucket(self, bucket: int) -> bucket_directory.BucketDirectory:
        """Return the directory of a bucket."""
        directory = self._buckets.get(bucket)
        if directory is None:
            directory = bucket_directory.BucketDirectory(self._count)
            self._buckets[bucket] = directory
        return directory

    def drop_bucket(self, bucket: int) -> None:
        """Remove the flows of a bucket."""
        directory = self._buckets.pop(bucket, None)
        if directory is not None:
            directory.clear()

    def expire(self, now: float) -> None:
        """Remove idle flows."""
        for directory in self._buckets.values():
            directory.expire(now)
