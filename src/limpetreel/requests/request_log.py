"""Duplicate detection for the requests of a flow owner."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from limpetreel.requests import lifetime, lookup_result
from limpetreel.requests import outcome as outcomes

if TYPE_CHECKING:
    from limpetreel.flows import flow_key
    from limpetreel.requests import request_key

    LookupKey = tuple[flow_key.FlowKey, bytes]

MAX_RECORDS = 32_768
MAX_REFUSALS = 8_192
"""Refusals kept in addition to `MAX_RECORDS`, so that a full log can still refuse."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class RequestLog:
    """Requests of the last `lifetime.EXCHANGE_SECONDS` with outcomes and answers.

    Parameters
    ----------
    max_records : int
        Maximum number of recorded requests.
    max_refusals : int
        Maximum number of recorded refusals.
    max_answer_bytes : int
        Maximum total size of the kept answers. Beyond it duplicates are still
        detected, but get no copy of the answer.
    """

    def __init__(
        self,
        max_records: int = MAX_RECORDS,
        max_refusals: int = MAX_REFUSALS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._max_records = max_records
        self._max_refusals = max_refusals
        self._max_answer_bytes = max_answer_bytes
        self._by_key: dict[LookupKey, _Record] = {}
        self._queue: collections.deque[_Record] = collections.deque()
        self._records = 0
        self._refusals = 0
        self._answer_bytes = 0

    def __len__(self) -> int:
        """Return the number of records, refusals included."""
        return self._records + self._refusals

    def begin(
        self, now: float, key: request_key.RequestKey, idempotent: bool
    ) -> lookup_result.LookupResult:
        """Look up a request and record it if it is new.

        Parameters
        ----------
        now : float
            Time in seconds.
        key : RequestKey
            The request.
        idempotent : bool
            True if it may be repeated; such a request is handled without a
            record when the log is full.
        """
        self.expire(now)
        record = self._find(key)
        if record is not None:
            if record.outcome is None:
                return lookup_result.LookupResult(lookup_result.Kind.OPEN)
            return lookup_result.LookupResult(
                lookup_result.Kind.REPEATED, record.outcome, record.answer
            )
        if self._records >= self._max_records:
            if idempotent:
                return lookup_result.LookupResult(lookup_result.Kind.NEW)
            return lookup_result.LookupResult(lookup_result.Kind.FULL)
        self._insert(now, key)
        self._records += 1
        return lookup_result.LookupResult(lookup_result.Kind.NEW)

    def find(
        self, now: float, key: request_key.RequestKey
    ) -> lookup_result.LookupResult | None:
        """Return the recorded outcome of a request, or None if there is none."""
        self.expire(now)
        record = self._find(key)
        if record is None or record.outcome is None:
            return None
        return lookup_result.LookupResult(
            lookup_result.Kind.REPEATED, record.outcome, record.answer
        )

    def mark_sent(self, key: request_key.RequestKey) -> None:
        """Mark a request as about to be sent to the upstream."""
        record = self._find(key)
        if record is not None:
            record.is_sent = True

    def finish(
        self,
        key: request_key.RequestKey,
        outcome: outcomes.Outcome,
        answer: bytes = b"",
    ) -> outcomes.Outcome:
        """Record the outcome of a request and return the outcome that applies.

        A request that was sent never ends as NOT_RUN.
        """
        record = self._find(key)
        if record is None:
            return outcome
        if record.outcome is outcomes.Outcome.ANSWERED:
            return record.outcome
        if outcome is outcomes.Outcome.NOT_RUN and record.is_sent:
            outcome = outcomes.Outcome.UNKNOWN
        if self._answer_bytes + len(answer) > self._max_answer_bytes:
            answer = b""
        self._answer_bytes += len(answer) - len(record.answer)
        record.outcome, record.answer = outcome, answer
        return outcome

    def refuse(
        self, now: float, key: request_key.RequestKey, *, cannot_run_elsewhere: bool
    ) -> outcomes.Outcome | None:
        """Refuse a request that was not sent and return the outcome for the caller.

        The refusal is recorded, so that a copy of the request that is still in
        transit is refused as well; otherwise it would run after the caller received
        NOT_RUN. Returns None, in which case no answer is sent, if the log is full.

        Parameters
        ----------
        now : float
            Time in seconds.
        key : RequestKey
            The request.
        cannot_run_elsewhere : bool
            True if this agent has its own lease from control and no earlier owner
            can have run the request (`ClaimEnded.is_sole`). Without a lease the
            agent may have been replaced, and its successor may run the request.
        """
        self.expire(now)
        record = self._find(key)
        outcome = (
            outcomes.Outcome.NOT_RUN
            if cannot_run_elsewhere
            else outcomes.Outcome.UNKNOWN
        )
        if record is not None:
            return self.finish(key, outcome)
        if self._refusals >= self._max_refusals:
            return None
        record = self._insert(now, key)
        record.is_refusal = True
        record.outcome = outcome
        self._refusals += 1
        return outcome

    def open_requests(self) -> list[request_key.RequestKey]:
        """Return the requests without an outcome."""
        return [r.key for r in self._queue if r.outcome is None]

    def expire(self, now: float) -> None:
        """Remove requests whose datagrams can no longer arrive."""
        limit = now - lifetime.EXCHANGE_SECONDS
        unfinished = []
        while self._queue and self._queue[0].start <= limit:
            record = self._queue.popleft()
            if record.outcome is None:
                unfinished.append(record)
                continue
            self._remove(record)
        self._queue.extendleft(reversed(unfinished))

    def _find(self, key: request_key.RequestKey) -> _Record | None:
        records = self._by_key
        return next((records[k] for k in key.lookup_keys() if k in records), None)

    def _insert(self, now: float, key: request_key.RequestKey) -> _Record:
        record = _Record(key, now)
        for lookup_key in key.lookup_keys():
            self._by_key[lookup_key] = record
        self._queue.append(record)
        return record

    def _remove(self, record: _Record) -> None:
        for lookup_key in record.key.lookup_keys():
            if self._by_key.get(lookup_key) is record:
                del self._by_key[lookup_key]
        self._answer_bytes -= len(record.answer)
        if record.is_refusal:
            self._refusals -= 1
        else:
            self._records -= 1


class _Record:
    """Record of one request."""

    __slots__ = ("answer", "is_refusal", "is_sent", "key", "outcome", "start")

    def __init__(self, key: request_key.RequestKey, start: float) -> None:
        self.key = key
        self.start = start
        self.is_sent = False
        self.is_refusal = False
        self.outcome: outcomes.Outcome | None = None
        self.answer = b""
