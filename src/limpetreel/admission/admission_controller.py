"""Admission of requests to one upstream."""

from __future__ import annotations

import collections
import heapq
import itertools
from typing import TYPE_CHECKING

from limpetreel.admission import (
    admitted,
    back_off,
    baseline_probe,
    capacity_estimate,
    cold_detector,
    expired,
    gradient_limiter,
    latency_blocks,
    open_request,
    outcome,
    queued,
    refusal,
    refused,
    retry_budget,
    slow_start,
    wait_queue,
)
from limpetreel.core import failure, reason

if TYPE_CHECKING:
    from collections.abc import Iterator

    from limpetreel.admission import (
        admission_settings,
        concurrency_limiter,
        decision,
    )

OVERDUE_CHECKED = 4
"""Open requests whose age is checked; a few show whether the upstream answers."""

SHORT_WAIT_RATIO = 0.5
"""Expected wait and service over the answer time up to which a flow may wait.

Service times vary, and the flow stays where it was placed.
"""

PROBE_SECONDS = 2.0
"""Time without a request after which one is sent whatever the estimate says."""

MAX_LINGER_SECONDS = 1.0
"""Longest time for which a cancelled request still counts as open.

The upstream may go on for a while until it handles the cancellation.
"""


class AdmissionController:
    """Decides which requests one upstream gets, and when.

    Times are monotonic seconds and never decrease between calls. A request ends
    exactly once: by a returned refusal, by `finished`, by `abandoned`, or by a
    `Refused` or `Expired` decision. The shell carries out decisions in order and
    calls `tick` every few ten milliseconds.

    Parameters
    ----------
    config : AdmissionSettings
        Settings.
    seed : int
        Seed of the jitter of retry hints.
    now : float
        Time in seconds at which slow start begins.
    limiter : ConcurrencyLimiter, optional
        Algorithm for the warm upstream; `GradientLimiter` by default.
    """

    def __init__(
        self,
        config: admission_settings.AdmissionSettings,
        seed: int,
        now: float,
        limiter: concurrency_limiter.ConcurrencyLimiter | None = None,
    ) -> None:
        self._config = config
        self._limiter = limiter or gradient_limiter.GradientLimiter(config.max_limit)
        self._slow_start = slow_start.SlowStart()
        self._detector = cold_detector.ColdDetector()
        self._probe = baseline_probe.BaselineProbe()
        self._blocks = latency_blocks.LatencyBlocks()
        self._queue = wait_queue.WaitQueue()
        self._budget = retry_budget.RetryBudget()
        self._back_off = back_off.BackOff(seed)
        self._capacity = capacity_estimate.CapacityEstimate()
        self._throughput = capacity_estimate.CapacityEstimate()
        self._open: dict[int, open_request.OpenRequest] = {}
        self._open_by_caller: collections.Counter[int] = collections.Counter()
        self._lingering: list[float] = []
        self._displaced: list[refused.Refused] = []
        self._cold_since = float("-inf")
        self._answered_sent_at = float("-inf")
        self._sent_at = now
        self._proven = 0
        self._warm_latency: float | None = None
        self._target: int | None = None
        self._draining = False
        self._slow_start.begin(now, None, None, is_repeated=False)

    @property
    def limit(self) -> int:
        """Number of requests that may be open at once."""
        if self._slow_start.active:
            return self._slow_start.limit
        return self._probe.lowered(self._limiter.limit)

    @property
    def open_count(self) -> int:
        """Number of slots held, including those of requests just cancelled."""
        return len(self._open) + len(self._lingering)

    @property
    def queued_count(self) -> int:
        """Number of requests that wait."""
        return len(self._queue)

    @property
    def is_cold(self) -> bool:
        """Whether slow start is under way."""
        return self._slow_start.active

    def capacity(self) -> int:
        """Return how many requests the upstream bears at once, smoothed."""
        return max(1, round(self._capacity.reported))

    def throughput(self) -> float:
        """Return how many requests the upstream bears per second, smoothed.

        It is 0 until measured. Shares should follow it where the upstreams of a
        class differ in speed, because equal numbers of slots then bear unequal
        rates.
        """
        return self._throughput.reported

    def can_accept_flow(self, now: float, is_last: bool = False) -> bool:
        """Return whether a new flow may be placed here at this moment.

        Parameters
        ----------
        now : float
            Time in seconds.
        is_last : bool
            True if nobody else can be asked, that is at the backup, or at the
            primary after the backup has refused. A short wait is then better than a
            refusal.
        """
        if self._draining:
            return False
        self._advance(now)
        if self._can_send(now) and not self._queue:
            return True
        return is_last and self._is_wait_short()

    def offer(
        self,
        now: float,
        request_id: int,
        caller: int,
        deadline_at: float,
        is_retry: bool = False,
    ) -> admitted.Admitted | queued.Queued | failure.Failure:
        """Decide about a request of a flow that this agent owns.

        Parameters
        ----------
        now : float
            Time in seconds.
        request_id : int
            Number of the request, not in use by another one.
        caller : int
            Caller for fairness, such as the IPv4 address as a number, so that one
            machine with many ports counts once.
        deadline_at : float
            Deadline in seconds.
        is_retry : bool
            Whether the request repeats one that was sent before.

        Returns
        -------
        Admitted or Queued or Failure
            A `Refusal` if the request is refused as not run; a plain `Failure` if
            the request id is in use.
        """
        if request_id in self._open or request_id in self._queue:
            step = "admission.offer"
            return failure.Failure(reason.Reason.CONFLICT, step, self._config.peer)
        self._advance(now)
        if not is_retry:
            self._budget.note_request(now)
        elif not self._budget.try_spend(now):
            return self._refuse(now, reason.Reason.OVERLOADED, "admission.retry")
        deadline_at = min(deadline_at, now + self._config.answer_seconds)
        is_worth = self._in_time(now, deadline_at) or self._may_probe(now, deadline_at)
        if is_worth and not self._queue and self._can_send(now):
            return self._send(now, request_id, caller, deadline_at)
        return self._enqueue(now, request_id, caller, deadline_at)

    def finished(
        self, now: float, request_id: int, result: outcome.Outcome
    ) -> list[decision.Decision]:
        """Take the outcome of a sent request; an unknown request is ignored."""
        self._advance(now)
        ended = self._close(request_id)
        if ended is None:
            return self._dispatch(now)
        is_current = ended.sent_at >= self._cold_since
        if result is outcome.Outcome.TIMED_OUT:
            self._note_unanswered(now, ended)
        elif not is_current:
            pass
        elif result is outcome.Outcome.SHED:
            self._note_shed(now, ended)
        else:
            self._note_answer(now, ended)
        return self._dispatch(now)

    def abandoned(self, now: float, request_id: int) -> list[decision.Decision]:
        """Drop a request whose caller has given up.

        The agent sends a cancellation if the request was sent.
        """
        self._advance(now)
        self._queue.remove(request_id)
        # A displaced request must not end a second time by its refusal.
        self._displaced = [d for d in self._displaced if d.request_id != request_id]
        if self._close(request_id) is not None:
            self._linger(now)
        return self._dispatch(now)

    def tick(self, now: float) -> list[decision.Decision]:
        """Expire and refuse what is late, and send what has become possible."""
        self._advance(now)
        made: list[decision.Decision] = []
        for request_id, request in list(self._open.items()):
            if request.deadline_at <= now:
                self._close(request_id)
                self._note_unanswered(now, request)
                made.append(expired.Expired(request_id))
        self._check_overdue(now)
        made.extend(self._refuse_late(now))
        made.extend(self._dispatch(now))
        return made

    def upstream_restarted(self, now: float) -> list[decision.Decision]:
        """Begin slow start for a new run id; all open requests are lost."""
        lost = list(self._open)
        self._open.clear()
        self._open_by_caller.clear()
        self._lingering.clear()
        self._turn_cold(now, is_repeated=False)
        made: list[decision.Decision] = []
        made.extend(expired.Expired(r, is_lost=True) for r in lost)
        made.extend(self._dispatch(now))
        return made

    def drain(self, now: float) -> list[decision.Decision]:
        """Accept no new flow from now on; flows that are owned go on."""
        self._draining = True
        return self._dispatch(now)

    def _enqueue(
        self, now: float, request_id: int, caller: int, deadline_at: float
    ) -> queued.Queued | refusal.Refusal:
        held = self._open_by_caller.get(caller, 0)
        ahead = self._queue.position(caller, held)
        if not self._in_time(now, deadline_at, ahead + 1):
            return self._refuse(now, reason.Reason.DEADLINE, "admission.offer")
        if len(self._queue) >= self._queue_bound() and not self._displace(now, caller):
            return self._refuse(now, reason.Reason.OVERLOADED, "admission.offer")
        self._queue.put(request_id, caller, deadline_at, held)
        return queued.Queued(request_id)

    def _displace(self, now: float, caller: int) -> bool:
        """Free a queue place at the cost of the caller with the most places."""
        found = self._queue.displaceable(caller)
        if found is None or len(self._displaced) >= self._queue_bound():
            return False
        self._queue.remove(found.request_id)
        why = self._refuse(now, reason.Reason.OVERLOADED, "admission.queue")
        self._displaced.append(refused.Refused(found.request_id, why))
        return True

    def _dispatch(self, now: float) -> list[decision.Decision]:
        made: list[decision.Decision] = list(self._displaced)
        self._displaced.clear()
        while self._queue and self._can_send(now):
            entry = self._queue.pop()
            if self._in_time(now, entry.deadline_at):
                sent = self._send(
                    now, entry.request_id, entry.caller, entry.deadline_at
                )
                made.append(sent)
            else:
                made.append(self._refuse_queued(now, entry.request_id))
        return made

    def _send(
        self, now: float, request_id: int, caller: int, deadline_at: float
    ) -> admitted.Admitted:
        count = self.open_count + 1
        self._sent_at = now
        sent = open_request.OpenRequest(caller, now, deadline_at, count)
        self._open[request_id] = sent
        self._open_by_caller[caller] += 1
        return admitted.Admitted(request_id, deadline_at - now)

    def _close(self, request_id: int) -> open_request.OpenRequest | None:
        found = self._open.pop(request_id, None)
        if found is not None:
            self._open_by_caller[found.caller] -= 1
            if not self._open_by_caller[found.caller]:
                del self._open_by_caller[found.caller]
        return found

    def _refuse_late(self, now: float) -> Iterator[refused.Refused]:
        late = [
            entry
            for ahead, entry in enumerate(self._queue.entries())
            if not self._in_time(now, entry.deadline_at, ahead)
        ]
        for entry in late:
            self._queue.remove(entry.request_id)
            yield self._refuse_queued(now, entry.request_id)

    def _refuse_queued(self, now: float, request_id: int) -> refused.Refused:
        why = self._refuse(now, reason.Reason.DEADLINE, "admission.queue")
        return refused.Refused(request_id, why)

    def _refuse(self, now: float, why: reason.Reason, step: str) -> refusal.Refusal:
        each = self._service_seconds() / self.limit
        hint = self._back_off.retry_after(now, len(self._queue), each)
        return refusal.Refusal(why, step, self._config.peer, retry_after=hint)

    def _in_time(self, now: float, deadline_at: float, ahead: int = 0) -> bool:
        """Return whether a request with some before it can make its deadline."""
        service = self._service_seconds()
        wait = ahead * service / self.limit
        return now + wait + service < deadline_at

    def _may_probe(self, now: float, deadline_at: float) -> bool:
        """Return whether an idle upstream gets a request in spite of its estimate.

        Only an answer refreshes the estimate. Without a probe, one that is above the
        deadline would refuse every request for ever.
        """
        is_idle = self.open_count == 0 and now >= self._sent_at + PROBE_SECONDS
        return is_idle and now < deadline_at

    def _is_wait_short(self) -> bool:
        """Return whether one more request would wait briefly."""
        service = self._service_seconds()
        ahead = len(self._queue) + 1
        if service == 0.0:
            return ahead <= self.limit
        expected = ahead * service / self.limit + service
        return expected <= SHORT_WAIT_RATIO * self._config.answer_seconds

    def _service_seconds(self) -> float:
        # A new cold phase has no measurement yet; the warm latency is the lower
        # bound of what a cold upstream needs.
        return self._detector.service_seconds or self._warm_latency or 0.0

    def _queue_bound(self) -> int:
        return max(self._config.min_queue, self._config.queue_factor * self.limit)

    def _can_send(self, now: float) -> bool:
        count = self.open_count
        if count == 0:
            return True
        return count < self.limit and not self._is_suspect(now)

    def _is_suspect(self, now: float) -> bool:
        """Return whether recent latencies give reason to wait for an answer."""
        return self._score(now) >= cold_detector.SUSPICION_SCORE

    def _score(self, now: float) -> float:
        # Requests sent before one that has been answered are only slow themselves
        # and do not show that the upstream has stopped answering.
        unanswered = (
            now - r.sent_at
            for r in self._open.values()
            if r.sent_at > self._answered_sent_at
        )
        ages = itertools.islice(unanswered, OVERDUE_CHECKED)
        return self._detector.score_with(ages)

    def _check_overdue(self, now: float) -> None:
        # Answers before may have brought the score near the bound of answered requests;
        # one request that is a little slow must not decide then.
        score = self._score(now)
        of_ages = score - self._detector.score_with(())
        is_late = of_ages >= cold_detector.COLD_SCORE
        if is_late or score >= cold_detector.ANSWERED_COLD_SCORE:
            self._turn_cold(now, self._has_grown())

    def _note_answer(self, now: float, ended: open_request.OpenRequest) -> None:
        latency = now - ended.sent_at
        self._answered_sent_at = max(self._answered_sent_at, ended.sent_at)
        if self._detector.note_latency(latency):
            self._turn_cold(now, self._has_grown())
        elif self._slow_start.active:
            limit = self._slow_start.limit
            self._slow_start.note_success(now, latency, ended.open_at_send)
            if self._slow_start.limit != limit or not self._slow_start.active:
                self._note_growth(now)
        else:
            self._note_warm_answer(now, latency, ended)

    def _note_warm_answer(
        self, now: float, latency: float, ended: open_request.OpenRequest
    ) -> None:
        if self._probe.update(now):
            self._blocks.restart_baseline_block()
        if self._probe.active:
            if self._probe.counts(ended.sent_at) and self._blocks.note_baseline(
                now, latency
            ):
                self._probe.end(now)
                self._blocks.restart_block()
            return
        is_full_use = ended.open_at_send >= self._limiter.limit
        mean = self._blocks.note(now, latency, is_full_use)
        if mean is not None:
            self._note_block(now, mean)

    def _note_growth(self, now: float) -> None:
        """Take over what slow start has found out."""
        if not self._slow_start.active:
            self._limiter.restart_at(self._slow_start.limit)
            self._probe.end(now)
            self._proven = self._slow_start.limit
        # At low load the limit may never be fully used again, so that this is the
        # only measurement of what the upstream bears.
        limit, mean = self._slow_start.proven
        if mean > 0.0:
            self._capacity.raise_to(now, limit)
            self._throughput.raise_to(now, limit / mean)

    def _note_block(self, now: float, mean: float) -> None:
        limit = self._limiter.limit
        baseline = self._blocks.baseline or mean
        self._limiter.note_block(mean, baseline)
        if self._limiter.limit >= limit:
            self._proven = limit
        self._blocks.restart_block()
        self._capacity.note(now, limit)
        self._throughput.note(now, limit / max(mean, cold_detector.MIN_LATENCY))

    def _note_shed(self, now: float, ended: open_request.OpenRequest) -> None:
        if self._slow_start.active:
            self._target = max(1, ended.open_at_send - 1)
            self._turn_cold(now, self._has_grown())
        elif ended.open_at_send <= self._proven:
            # The upstream has borne this many before, so it is not the same now.
            self._turn_cold(now, is_repeated=False)
        else:
            self._limiter.note_shed(ended.open_at_send)
            self._blocks.restart_block()

    def _note_unanswered(self, now: float, ended: open_request.OpenRequest) -> None:
        self._linger(now)
        if ended.sent_at < self._cold_since:
            return
        if self._detector.note_unanswered(now - ended.sent_at):
            self._turn_cold(now, self._has_grown())

    def _has_grown(self) -> bool:
        return self._slow_start.active and self._slow_start.limit > 1

    def _turn_cold(self, now: float, is_repeated: bool) -> None:
        if not self._slow_start.active:
            self._target = self._limiter.limit
            self._warm_latency = (
                self._blocks.baseline or self._detector.service_seconds or None
            )
        elif self._has_grown():
            # Growth beyond the slots raises latencies as well. Stopping at the last
            # limit that was borne keeps it from being taken for coldness for ever.
            self._target = self._slow_start.proven[0]
        self._slow_start.begin(now, self._target, self._warm_latency, is_repeated)
        self._probe.stop()
        self._detector.reset()
        self._blocks.clear()
        self._proven = 0
        self._cold_since = now

    def _linger(self, now: float) -> None:
        wait = min(self._service_seconds(), MAX_LINGER_SECONDS)
        heapq.heappush(self._lingering, now + wait)

    def _advance(self, now: float) -> None:
        while self._lingering and self._lingering[0] <= now:
            heapq.heappop(self._lingering)
