"""Baseline policy: consistent hashing with equal shares."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.assignment import class_assignment
from limpetreel.measure import bucket_hash, deployment, policy

if TYPE_CHECKING:
    from limpetreel.measure import arrival_event, transport


class HashPolicy(policy.Policy):
    """Sends each request to the primary of its flow's bucket, regardless of load.

    Parameters
    ----------
    spec : Deployment
        Simulated deployment.
    upstream_transport : Transport
        Sends requests to the upstreams.
    """

    def __init__(
        self, spec: deployment.Deployment, upstream_transport: transport.Transport
    ) -> None:
        self._transport = upstream_transport
        self._index_by_node_id: dict[int, int] = {}
        members: dict[int, list] = {c: [] for c in range(len(spec.class_sizes))}
        for i in range(sum(spec.class_sizes)):
            record = spec.member(i, deployment.INITIAL_SHARE)
            self._index_by_node_id[record.node_id] = i
            members[spec.class_of(i)].append(record)
        self._tables = {
            c: class_assignment.ClassAssignment(c, records)
            for c, records in members.items()
        }

    def handle_request(self, arrival: arrival_event.ArrivalEvent) -> None:
        """Send the request to the primary of its bucket."""
        bucket = bucket_hash.bucket_of(arrival.class_id, arrival.connection)
        assignment = self._tables[arrival.class_id].lookup(bucket)
        if assignment is not None:
            index = self._index_by_node_id[assignment.primary.node_id]
            self._transport.send(arrival.at, index, arrival.request_id)

    def handle_answer(
        self, now: float, index: int, request_id: int, is_shed: bool
    ) -> None:
        """Ignore the answer: the baseline has no admission control."""

    def handle_restart(self, now: float, index: int) -> None:
        """Ignore the restart: the baseline has no slow start."""

    def tick(self, now: float) -> None:
        """Do nothing: the baseline has no timers."""
