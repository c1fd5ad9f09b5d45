"""Claims that an agent keeps as holder or deputy of buckets."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import msgspec

from limpetreel.requests import claim as claims
from limpetreel.requests import lifetime, outcome

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limpetreel.flows import flow_key
    from limpetreel.requests import request_key

    Name = tuple[flow_key.FlowKey, bytes]

MAX_CLAIMS = 65_536
MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_COPIED_ANSWER = 512
"""Larger answers are not copied, so that a claim always fits into one message."""
NO_OWNER = 0


class ClaimStore:
    """Claims by bucket, each kept for the lifetime of its request.

    Parameters
    ----------
    max_claims : int
        Most claims that `record` accepts. Claims that a handover brings are kept
        beyond it, since dropping one could let a request run twice.
    """

    def __init__(self, max_claims: int = MAX_CLAIMS) -> None:
        self._max_claims = max_claims
        self._by_name: dict[int, dict[Name, claims.Claim]] = {}
        self._recorded: dict[tuple[request_key.RequestKey, int], float] = {}
        self._queue: list[tuple[float, int, int, request_key.RequestKey]] = []
        self._count = 0
        self._answer_bytes = 0

    def __len__(self) -> int:
        """Return the number of claims."""
        return len(self._recorded)

    def find(self, bucket: int, key: request_key.RequestKey) -> claims.Claim | None:
        """Return the claim of a request, or None."""
        named = self._by_name.get(bucket, {})
        return next((named[n] for n in key.names() if n in named), None)

    def record(
        self, now: float, bucket: int, item: claims.Claim
    ) -> claims.Claim | None:
        """Record a claim and return the one that counts, or None if full.

        An earlier claim of the same request counts before a later one.
        """
        found = self.find(bucket, item.key)
        if found is not None:
            return found
        if len(self._recorded) >= self._max_claims:
            return None
        self._insert(now, bucket, item)
        return item

    def settle(
        self,
        bucket: int,
        item: claims.Claim,
    ) -> None:
        """Note the outcome of a claim; another owner's claim is not changed."""
        found = self.find(bucket, item.key)
        if found is None or not _is_same(found, item):
            return
        if found.outcome is outcome.Outcome.ANSWERED:
            return
        self._replace(bucket, found, self._bounded(item))

    def merge(self, now: float, bucket: int, items: Iterable[claims.Claim]) -> None:
        """Add the claims of another agent's copy."""
        for item in items:
            found = self.find(bucket, item.key)
            if found is None:
                start = now - item.age_ms / 1000
                self._insert(start, bucket, msgspec.structs.replace(item, age_ms=0))
            elif not _is_same(found, item):
                # Two owners claimed the request, so neither result is certain.
                contested = msgspec.structs.replace(
                    found,
                    owner=NO_OWNER,
                    outcome=outcome.Outcome.UNKNOWN,
                    answer=b"",
                )
                self._replace(bucket, found, contested)
            elif found.outcome is None or item.outcome is outcome.Outcome.ANSWERED:
                self.settle(bucket, msgspec.structs.replace(item, age_ms=0))

    def export(self, now: float, bucket: int) -> list[claims.Claim]:
        """Return the claims of a bucket with their ages."""
        unique = {c.key: c for c in self._by_name.get(bucket, {}).values()}
        return [
            msgspec.structs.replace(
                c, age_ms=max(0, int((now - self._recorded[c.key, bucket]) * 1000))
            )
            for c in unique.values()
        ]

    def drop_bucket(self, bucket: int) -> None:
        """Forget the claims of a bucket."""
        unique = {c.key: c for c in self._by_name.pop(bucket, {}).values()}
        for item in unique.values():
            self._answer_bytes -= len(item.answer)
            del self._recorded[item.key, bucket]

    def expire(self, now: float) -> None:
        """Forget claims whose request can no longer arrive."""
        while self._queue and self._queue[0][0] <= now:
            due, _, bucket, key = heapq.heappop(self._queue)
            start = self._recorded.get((key, bucket))
            # A claim that was dropped and recorded again has a later item.
            if start is not None and start + lifetime.EXCHANGE_SECONDS <= due:
                self._delete(bucket, key)

    def _delete(self, bucket: int, key: request_key.RequestKey) -> None:
        named = self._by_name[bucket]
        for name in key.names():
            found = named.get(name)
            if found is not None and found.key == key:
                del named[name]
                self._answer_bytes -= len(found.answer)
                found = None
        del self._recorded[key, bucket]

    def _insert(self, start: float, bucket: int, item: claims.Claim) -> None:
        item = self._bounded(item)
        named = self._by_name.setdefault(bucket, {})
        self._recorded[item.key, bucket] = start
        self._answer_bytes += len(item.answer)
        for name in item.key.names():
            named[name] = item
        self._enqueue(start, bucket, item.key)

    def _enqueue(self, start: float, bucket: int, key: request_key.RequestKey) -> None:
        due = start + lifetime.EXCHANGE_SECONDS
        self._count += 1
        heapq.heappush(self._queue, (due, self._count, bucket, key))

    def _replace(self, bucket: int, old: claims.Claim, new: claims.Claim) -> None:
        new = msgspec.structs.replace(new, key=old.key)
        self._answer_bytes += len(new.answer) - len(old.answer)
        named = self._by_name[bucket]
        for name in old.key.names():
            named[name] = new

    def _bounded(self, item: claims.Claim) -> claims.Claim:
        size = len(item.answer)
        if size > MAX_COPIED_ANSWER or self._answer_bytes + size > MAX_ANSWER_BYTES:
            return msgspec.structs.replace(item, answer=b"")
        return item


def _is_same(one: claims.Claim, other: claims.Claim) -> bool:
    ids = (one.owner, one.incarnation, one.claim_id)
    return ids == (other.owner, other.incarnation, other.claim_id)
