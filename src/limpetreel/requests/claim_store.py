"""Claims that an agent keeps as holder or backup of buckets."""

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

    LookupKey = tuple[flow_key.FlowKey, bytes]

MAX_CLAIMS = 65_536
MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_COPIED_ANSWER_BYTES = 512
"""Larger answers are not copied, so that a claim always fits into one message."""
NO_OWNER = 0


class ClaimStore:
    """Claims by bucket, each kept for `lifetime.EXCHANGE_SECONDS`.

    Parameters
    ----------
    max_claims : int
        Limit on claims for `record`. Claims received in a handover are kept beyond
        it, since dropping one could let a request run twice.
    """

    def __init__(self, max_claims: int = MAX_CLAIMS) -> None:
        self._max_claims = max_claims
        self._claims_by_bucket: dict[int, dict[LookupKey, claims.Claim]] = {}
        self._recorded_at: dict[tuple[request_key.RequestKey, int], float] = {}
        self._expiry_queue: list[tuple[float, int, int, request_key.RequestKey]] = []
        self._sequence = 0
        self._answer_bytes = 0

    def __len__(self) -> int:
        """Return the number of claims."""
        return len(self._recorded_at)

    def find(self, bucket: int, key: request_key.RequestKey) -> claims.Claim | None:
        """Return the claim of a request, or None."""
        claims_by_key = self._claims_by_bucket.get(bucket, {})
        return next(
            (claims_by_key[k] for k in key.lookup_keys() if k in claims_by_key), None
        )

    def record(
        self, now: float, bucket: int, new_claim: claims.Claim
    ) -> claims.Claim | None:
        """Record a claim and return the valid claim of its request, or None if full.

        An existing claim of the same request takes precedence.
        """
        existing = self.find(bucket, new_claim.key)
        if existing is not None:
            return existing
        if len(self._recorded_at) >= self._max_claims:
            return None
        self._insert(now, bucket, new_claim)
        return new_claim

    def record_outcome(
        self,
        bucket: int,
        ended_claim: claims.Claim,
    ) -> None:
        """Record the outcome of a claim; a claim of another owner is left unchanged."""
        existing = self.find(bucket, ended_claim.key)
        if existing is None or not _is_same_claim(existing, ended_claim):
            return
        if existing.outcome is outcome.Outcome.ANSWERED:
            return
        self._replace(bucket, existing, self._limit_answer(ended_claim))

    def merge(
        self, now: float, bucket: int, peer_claims: Iterable[claims.Claim]
    ) -> None:
        """Add claims from the copy of another agent."""
        for peer_claim in peer_claims:
            existing = self.find(bucket, peer_claim.key)
            if existing is None:
                start = now - peer_claim.age_ms / 1000
                self._insert(
                    start, bucket, msgspec.structs.replace(peer_claim, age_ms=0)
                )
            elif not _is_same_claim(existing, peer_claim):
                # Two owners claimed the request, so its outcome is unknown.
                conflicting = msgspec.structs.replace(
                    existing,
                    owner=NO_OWNER,
                    outcome=outcome.Outcome.UNKNOWN,
                    answer=b"",
                )
                self._replace(bucket, existing, conflicting)
            elif (
                existing.outcome is None
                or peer_claim.outcome is outcome.Outcome.ANSWERED
            ):
                self.record_outcome(
                    bucket, msgspec.structs.replace(peer_claim, age_ms=0)
                )

    def export(self, now: float, bucket: int) -> list[claims.Claim]:
        """Return the claims of a bucket with their ages."""
        unique = {c.key: c for c in self._claims_by_bucket.get(bucket, {}).values()}
        return [
            msgspec.structs.replace(
                c, age_ms=max(0, int((now - self._recorded_at[c.key, bucket]) * 1000))
            )
            for c in unique.values()
        ]

    def drop_bucket(self, bucket: int) -> None:
        """Remove the claims of a bucket."""
        unique = {c.key: c for c in self._claims_by_bucket.pop(bucket, {}).values()}
        for claim in unique.values():
            self._answer_bytes -= len(claim.answer)
            del self._recorded_at[claim.key, bucket]

    def expire(self, now: float) -> None:
        """Remove claims whose request can no longer arrive."""
        while self._expiry_queue and self._expiry_queue[0][0] <= now:
            expires_at, _, bucket, key = heapq.heappop(self._expiry_queue)
            start = self._recorded_at.get((key, bucket))
            # A claim that was dropped and recorded again has a later queue entry.
            if start is not None and start + lifetime.EXCHANGE_SECONDS <= expires_at:
                self._delete(bucket, key)

    def _delete(self, bucket: int, key: request_key.RequestKey) -> None:
        claims_by_key = self._claims_by_bucket[bucket]
        answer = b""
        for lookup_key in key.lookup_keys():
            claim = claims_by_key.get(lookup_key)
            if claim is not None and claim.key == key:
                del claims_by_key[lookup_key]
                answer = claim.answer
        self._answer_bytes -= len(answer)
        del self._recorded_at[key, bucket]

    def _insert(self, start: float, bucket: int, claim: claims.Claim) -> None:
        claim = self._limit_answer(claim)
        claims_by_key = self._claims_by_bucket.setdefault(bucket, {})
        self._recorded_at[claim.key, bucket] = start
        self._answer_bytes += len(claim.answer)
        for lookup_key in claim.key.lookup_keys():
            claims_by_key[lookup_key] = claim
        self._schedule_expiry(start, bucket, claim.key)

    def _schedule_expiry(
        self, start: float, bucket: int, key: request_key.RequestKey
    ) -> None:
        expires_at = start + lifetime.EXCHANGE_SECONDS
        self._sequence += 1
        heapq.heappush(self._expiry_queue, (expires_at, self._sequence, bucket, key))

    def _replace(
        self, bucket: int, previous: claims.Claim, updated: claims.Claim
    ) -> None:
        updated = msgspec.structs.replace(updated, key=previous.key)
        self._answer_bytes += len(updated.answer) - len(previous.answer)
        claims_by_key = self._claims_by_bucket[bucket]
        for lookup_key in previous.key.lookup_keys():
            claims_by_key[lookup_key] = updated

    def _limit_answer(self, claim: claims.Claim) -> claims.Claim:
        size = len(claim.answer)
        if (
            size > MAX_COPIED_ANSWER_BYTES
            or self._answer_bytes + size > MAX_ANSWER_BYTES
        ):
            return msgspec.structs.replace(claim, answer=b"")
        return claim


def _is_same_claim(left: claims.Claim, right: claims.Claim) -> bool:
    ids = (left.owner, left.incarnation, left.claim_id)
    return ids == (right.owner, right.incarnation, right.claim_id)
