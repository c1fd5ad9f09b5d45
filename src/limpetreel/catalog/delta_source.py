"""Deltas of a table, for the nodes that ask for them."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from limpetreel.catalog import delta_body
from limpetreel.messages import delta

if TYPE_CHECKING:
    from limpetreel.catalog import table
    from limpetreel.messages import delta_request

PART_BYTES = 1_120
"""Leaves space for the other fields in a frame body of at most 1,200 bytes."""

MAX_PARTS_PER_REQUEST = 16
CACHE_BYTES = 4 * 1024 * 1024


class DeltaSource:
    """Builds deltas and caches the recent ones.

    Nodes that hold the same revision share one delta. A delta to an older revision
    remains available while it is cached, so that a node can request lost parts again.
    After its eviction the answer is a newer delta, which names another revision.

    Parameters
    ----------
    records : Table
        The table.
    cache_bytes : int, optional
        Size limit of the cache.
    """

    def __init__(self, records: table.Table, cache_bytes: int = CACHE_BYTES) -> None:
        self._table = records
        self._cache_bytes = cache_bytes
        self._cached_bytes = 0
        self._cache: collections.OrderedDict[tuple[int, int, str], _CachedDelta] = (
            collections.OrderedDict()
        )

    def parts(self, request: delta_request.DeltaRequest) -> list[delta.Delta]:
        """Return the parts that a request asks for.

        The list is empty if this table is not newer than the node's, unless the
        node asks for the whole table.
        """
        first = request.part
        start = self._start(request.revision)
        cached = self._cache.get((start, request.to_revision, request.scope))
        if cached is None:
            if self._table.revision <= request.revision:
                return []
            if request.to_revision not in (0, self._table.revision):
                first = 0
            cached = self._current_delta(start, request.scope)
        to_revision, digest, body = cached
        total = max(1, -(-len(body) // PART_BYTES))
        count = min(max(request.count, 1), MAX_PARTS_PER_REQUEST)
        return [
            delta.Delta(
                from_revision=start,
                to_revision=to_revision,
                digest=digest,
                part=part,
                parts=total,
                body=body[part * PART_BYTES : (part + 1) * PART_BYTES],
            )
            for part in range(max(first, 0), min(first + count, total))
        ]

    def _start(self, revision: int) -> int:
        """Return the revision to start from; 0 if its tombstones have been dropped."""
        return revision if revision >= self._table.floor else 0

    def _current_delta(self, start: int, scope: str) -> _CachedDelta:
        key = (start, self._table.revision, scope)
        cached = self._cache.get(key)
        if cached is None:
            records = self._table.changed_after(start, scope)
            if start == 0:
                records = [record for record in records if not record.removed]
            body = delta_body.encode(records)
            cached = (self._table.revision, self._table.scope_digest(scope), body)
            self._add_to_cache(key, cached)
        return cached

    def _add_to_cache(self, key: tuple[int, int, str], cached: _CachedDelta) -> None:
        self._cache[key] = cached
        self._cached_bytes += len(cached[2]) + _ENTRY_BYTES
        while self._cached_bytes > self._cache_bytes and len(self._cache) > 1:
            _, old = self._cache.popitem(last=False)
            self._cached_bytes -= len(old[2]) + _ENTRY_BYTES


_CachedDelta = tuple[int, int, bytes]
_ENTRY_BYTES = 400
