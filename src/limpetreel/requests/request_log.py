"""Duplicate filter of an owner's requests."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from limpetreel.requests import lifetime, verdict
from limpetreel.requests import outcome as outcomes

if TYPE_CHECKING:
    from limpetreel.flows import flow_key
    from limpetreel.requests import request_key

    Name = tuple[flow_key.FlowKey, bytes]

MAX_RECORDS = 32_768
MAX_REFUSALS = 8_192
"""Refused requests remembered besides `MAX_RECORDS`, so that a full log can refuse."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class RequestLog:
    """Requests of the last 247 s with their outcomes and answers.

    Parameters
    ----------
    max_records : int
        Most requests that are handled.
    max_refusals : int
        Most refusals that are remembered.
    max_answer_bytes : int
        Most bytes of answers that are kept. Beyond it requests are still
        filtered, but their duplicates get no copy of the answer.
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
        self._by_name: dict[Name, _Record] = {}
        self._queue: collections.deque[_Record] = collections.deque()
        self._records = 0
        self._refusals = 0
        self._answer_bytes = 0

    def __len__(self) -> int:
        """Return the number of records, refusals included."""
        return self._records + self._refusals

    def begin(
        self, now: float, key: request_key.RequestKey, idempotent: bool
    ) -> verdict.Verdict:
        """Look a request up and record it if it is new.

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
        found = self._find(key)
        if found is not None:
            if found.outcome is None:
                return verdict.Verdict(verdict.Kind.OPEN)
            return verdict.Verdict(verdict.Kind.REPEATED, found.outcome, found.answer)
        if self._records >= self._max_records:
            if idempotent:
                return verdict.Verdict(verdict.Kind.NEW)
            return verdict.Verdict(verdict.Kind.FULL)
        self._insert(now, key)
        self._records += 1
        return verdict.Verdict(verdict.Kind.NEW)

    def find(self, now: float, key: request_key.RequestKey) -> verdict.Verdict | None:
        """Return the recorded outcome of a request, or None if there is none."""
        self.expire(now)
        found = self._find(key)
        if found is None or found.outcome is None:
            return None
        return verdict.Verdict(verdict.Kind.REPEATED, found.outcome, found.answer)

    def mark_sent(self, key: request_key.RequestKey) -> None:
        """Note that a request is about to be sent to the upstream."""
        found = self._find(key)
        if found is not None:
            found.sent = True

    def finish(
        self,
        key: request_key.RequestKey,
        outcome: outcomes.Outcome,
        answer: bytes = b"",
    ) -> outcomes.Outcome:
        """Record the end of a request and return the outcome that counts.

        A request that was sent never ends as not run.
        """
        found = self._find(key)
        if found is None:
            return outcome
        if found.outcome is outcomes.Outcome.ANSWERED:
            return found.outcome
        if outcome is outcomes.Outcome.NOT_RUN and found.sent:
            outcome = outcomes.Outcome.UNKNOWN
        if self._answer_bytes + len(answer) > self._max_answer_bytes:
            answer = b""
        self._answer_bytes += len(answer) - len(found.answer)
        found.outcome, found.answer = outcome, answer
        return outcome

    def refuse(
        self, now: float, key: request_key.RequestKey, *, certain: bool
    ) -> outcomes.Outcome | None:
        """Refuse a request that was not sent and return what to tell the caller.

        A copy of the request that is still under way must meet the same refusal,
        or it would run although its caller was told that it did not. The refusal
        is therefore recorded, and without room for it the caller is told nothing.

        Parameters
        ----------
        now : float
            Time in seconds.
        key : RequestKey
            The request.
        certain : bool
            True if this agent holds its own lease from control and no earlier
            owner can have run the request (`ClaimEnded.is_sole`). Without a lease
            the agent may have been replaced, and its successor may run the request.
        """
        self.expire(now)
        found = self._find(key)
        outcome = outcomes.Outcome.NOT_RUN if certain else outcomes.Outcome.UNKNOWN
        if found is not None:
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
        """Forget requests whose datagrams can no longer arrive."""
        limit = now - lifetime.EXCHANGE_SECONDS
        kept = []
        while self._queue and self._queue[0].start <= limit:
            record = self._queue.popleft()
            if record.outcome is None:
                kept.append(record)
                continue
            self._forget(record)
        self._queue.extendleft(reversed(kept))

    def _find(self, key: request_key.RequestKey) -> _Record | None:
        names = self._by_name
        return next((names[n] for n in key.names() if n in names), None)

    def _insert(self, now: float, key: request_key.RequestKey) -> _Record:
        record = _Record(key, now)
        for name in key.names():
            self._by_name[name] = record
        self._queue.append(record)
        return record

    def _forget(self, record: _Record) -> None:
        for name in record.key.names():
            if self._by_name.get(name) is record:
                del self._by_name[name]
        self._answer_bytes -= len(record.answer)
        if record.is_refusal:
            self._refusals -= 1
        else:
            self._records -= 1


class _Record:
    """One request."""

    __slots__ = ("answer", "is_refusal", "key", "outcome", "sent", "start")

    def __init__(self, key: request_key.RequestKey, start: float) -> None:
        self.key = key
        self.start = start
        self.sent = False
        self.is_refusal = False
        self.outcome: outcomes.Outcome | None = None
        self.answer = b""
