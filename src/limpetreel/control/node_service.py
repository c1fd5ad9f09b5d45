"""Answers of a control instance to nodes."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from limpetreel.catalog import delta_source, member_record
from limpetreel.control import token_bucket
from limpetreel.messages import lease
from limpetreel.wire import message_codec

if TYPE_CHECKING:
    from limpetreel.catalog import table
    from limpetreel.messages import delta, delta_request, renew

NODE_BYTES_PER_SECOND = 2_000
"""Mean rate of deltas to one node. Renewals and probes take up to 1,900 bytes more
in a region of four zones, less than 4 KB in total."""

NODE_BURST_BYTES = 400_000
"""A full fetch of an entry at the design size, which a restarted node may make at
once; at the mean rate it would wait for minutes."""

NODE_PEAK_BYTES_PER_SECOND = 64_000
"""Keeps one fetch from filling the queues between control and the node."""

SHARED_BURST_BYTES = 4_000_000
"""Allows some restarted nodes to fetch at once; when all nodes fetch, the shared
limit holds them to the mean rate."""

CACHE_BYTES = 16 * 1024 * 1024
"""Enough after an outage for a full fetch of each class whose agents renew here."""

MAX_NODES = 16_384
_FRAME_BYTES = 42


class NodeService:
    """Leases and deltas for nodes.

    Parameters
    ----------
    now : float
        Time in seconds.
    records : Table
        Table of the catalog.
    """

    def __init__(self, now: float, records: table.Table) -> None:
        self._table = records
        self._source = delta_source.DeltaSource(records, CACHE_BYTES)
        self._shared = token_bucket.TokenBucket(
            now, NODE_BYTES_PER_SECOND, SHARED_BURST_BYTES
        )
        self._nodes: collections.OrderedDict[int, _Budget] = collections.OrderedDict()

    def renewed(self, renewal: renew.Renew, lease_ms: int) -> lease.Lease:
        """Return the answer to a renewal.

        Parameters
        ----------
        renewal : Renew
            The renewal.
        lease_ms : int
            Time left of the last round that a quorum answered; 0 without quorum.
            It must also be 0 while this instance has not applied all entries
            that were committed when that round started, because the lease names
            the revision of this table.
        """
        existing = self._table.records.get(f"member/{renewal.name}")
        incarnation = renewal.incarnation
        if isinstance(existing, member_record.MemberRecord):
            incarnation = max(incarnation, existing.incarnation)
        return lease.Lease(
            nonce=renewal.nonce,
            lease_ms=lease_ms if incarnation == renewal.incarnation else 0,
            revision=self._table.revision,
            digest=self._table.scope_digest(renewal.class_name),
            incarnation=incarnation,
        )

    def delta_requested(
        self, now: float, node_id: int, request: delta_request.DeltaRequest
    ) -> list[delta.Delta]:
        """Return the parts of a delta that the node may receive now.

        Parts beyond the limits are left out; the node asks for them again.

        Parameters
        ----------
        now : float
            Time in seconds.
        node_id : int
            Sender of the request.
        request : DeltaRequest
            The request.
        """
        budget = self._budget(now, node_id)
        self._shared.rate = NODE_BYTES_PER_SECOND * len(self._nodes)
        buckets = (self._shared, *budget)
        parts = []
        for part in self._source.parts(request):
            size = len(message_codec.encode(part)) + _FRAME_BYTES
            if not all(bucket.has(now, size) for bucket in buckets):
                break
            for bucket in buckets:
                bucket.take(size)
            parts.append(part)
        return parts

    def _budget(self, now: float, node_id: int) -> _Budget:
        budget = self._nodes.pop(node_id, None)
        if budget is None:
            budget = (
                token_bucket.TokenBucket(now, NODE_BYTES_PER_SECOND, NODE_BURST_BYTES),
                token_bucket.TokenBucket(
                    now, NODE_PEAK_BYTES_PER_SECOND, NODE_PEAK_BYTES_PER_SECOND
                ),
            )
        self._nodes[node_id] = budget
        if len(self._nodes) > MAX_NODES:
            self._nodes.popitem(last=False)
        return budget


_Budget = tuple[token_bucket.TokenBucket, token_bucket.TokenBucket]
