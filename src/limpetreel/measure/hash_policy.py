"""Baseline: consistent hash with equal shares."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.assignment import class_assignment
from limpetreel.measure import bucket_hash, deployment, policy

if TYPE_CHECKING:
    from limpetreel.measure import arrival_event, transport


class HashPolicy(policy.Policy):
    """Sends each request to the upstream of its flow's bucket, whatever its load.

    Parameters
    ----------
    size : Deployment
        The deployment.
    out : Transport
        Way to the upstreams.
    """

    def __init__(self, size: deployment.Deployment, out: transport.Transport) -> None:
        self._out = out
        self._index_of: dict[int, int] = {}
        members: dict[int, list] = {c: [] for c in range(len(size.class_sizes))}
        for i in range(sum(size.class_sizes)):
            record = size.member(i, deployment.INITIAL_SHARE)
            self._index_of[record.node_id] = i
            members[size.class_of(i)].append(record)
        self._tables = {
            c: class_assignment.ClassAssignment(c, found)
            for c, found in members.items()
        }

    def request(self, arrival: arrival_event.ArrivalEvent) -> None:
        """Send the request to the primary of its bucket."""
        bucket = bucket_hash.bucket_of(arrival.class_id, arrival.connection)
        found = self._tables[arrival.class_id].lookup(bucket)
        if found is not None:
            index = self._index_of[found.primary.node_id]
            self._out.send(arrival.at, index, arrival.request_id)

    def answered(self, now: float, index: int, request_id: int, is_shed: bool) -> None:
        """Ignore the answer."""

    def restarted(self, now: float, index: int) -> None:
        """Ignore the announcement."""

    def tick(self, now: float) -> None:
        """Do nothing."""
