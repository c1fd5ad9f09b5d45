"""Admission control for the requests sent to one upstream."""

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
from limpetreel.core import failure
from limpetreel.core import reason as reasons

if TYPE_CHECKING:
    from collections.abc import Iterator

    from limpetreel.admission import (
        admission_settings,
        concurrency_limiter,
        decision,
    )

MAX_OVERDUE_CHECKED = 4
"""Open requests whose age is checked; a few suffice to detect a hung upstream."""

SHORT_WAIT_RATIO = 0.5
"""Highest ratio of the expected wait plus service time to the answer time at which
a new flow may still be queued.

It leaves a margin because service times vary and a flow is not moved once placed.
"""

IDLE_PROBE_SECONDS = 2.0
"""Idle time after which a request is sent regardless of the estimated service time."""

MAX_CANCELLATION_SECONDS = 1.0
"""Longest time for which a cancelled request still holds its slot.

The upstream may keep working on the request until it handles the cancellation.
"""


class AdmissionController:
    """Decides which requests are sent to one upstream, and when.

    Times are monotonic seconds and never decrease between calls. A request ends
    exactly once: by a returned refusal, by `finished`, by `abandoned`, or by a
    `Refused` or `Expired` decision. The shell executes decisions in order and
    calls `tick` every few tens of milliseconds.

    Parameters
    ----------
    config : AdmissionSettings
        Settings.
    seed : int
        Seed for the jitter of retry hints.
    now : float
        Time in seconds at which slow start begins.
    limiter : ConcurrencyLimiter, optional
        Algorithm used while the upstream is warm; `GradientLimiter` by default.
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
        self._baseline_probe = baseline_probe.BaselineProbe()
        self._blocks = latency_blocks.LatencyBlocks()
        self._queue = wait_queue.WaitQueue()
        self._budget = retry_budget.RetryBudget()
        self._back_off = back_off.BackOff(seed)
        self._capacity = capacity_estimate.CapacityEstimate()
        self._throughput = capacity_estimate.CapacityEstimate()
        self._open: dict[int, open_request.OpenRequest] = {}
        self._open_by_caller: collections.Counter[int] = collections.Counter()
        self._cancelled_slots_until: list[float] = []
        self._displaced: list[refused.Refused] = []
        self._cold_since = float("-inf")
        self._newest_answered_sent_at = float("-inf")
        self._last_sent_at = now
        self._sustained_limit = 0
        self._warm_latency: float | None = None
        self._slow_start_target: int | None = None
        self._draining = False
        self._slow_start.begin(now, None, None, is_repeated=False)

    @property
    def limit(self) -> int:
        """Number of requests that may be open at once."""
        if self._slow_start.active:
            return self._slow_start.limit
        return self._baseline_probe.reduce(self._limiter.limit)

    @property
    def open_count(self) -> int:
        """Number of slots in use, including those of recently cancelled requests."""
        return len(self._open) + len(self._cancelled_slots_until)

    @property
    def queued_count(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def is_cold(self) -> bool:
        """Whether slow start is in progress."""
        return self._slow_start.active

    def capacity(self) -> int:
        """Return the smoothed number of concurrent requests the upstream can handle."""
        return max(1, round(self._capacity.reported))

    def throughput(self) -> float:
        """Return the smoothed number of requests per second the upstream can handle.

        It is 0 until measured. Shares should be based on it where the upstreams of a
        class differ in speed, because equal numbers of slots then handle different
        rates.
        """
        return self._throughput.reported

    def can_accept_flow(self, now: float, is_last: bool = False) -> bool:
        """Return whether a new flow may be placed on this upstream now.

        Parameters
        ----------
        now : float
            Time in seconds.
        is_last : bool
            Whether no other agent is left to try, that is at the backup, or at the
            primary after the backup has refused. A short wait is then better than a
            refusal.
        """
        if self._draining:
            return False
        self._release_cancelled_slots(now)
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
        """Admit, queue or refuse a request of a flow that this agent owns.

        Parameters
        ----------
        now : float
            Time in seconds.
        request_id : int
            Identifier of the request, not in use by another one.
        caller : int
            Identifier of the caller for fair queueing, such as the IPv4 address as
            an integer, so that a host with many ports counts once.
        deadline_at : float
            Deadline in seconds.
        is_retry : bool
            Whether the request is a retry of an earlier one.

        Returns
        -------
        Admitted or Queued or Failure
            A `Refusal` if the request is refused as not run; a plain `Failure` if
            the request id is in use.
        """
        if request_id in self._open or request_id in self._queue:
            step = "admission.offer"
            return failure.Failure(reasons.Reason.CONFLICT, step, self._config.peer)
        self._release_cancelled_slots(now)
        if not is_retry:
            self._budget.record_request(now)
        elif not self._budget.try_spend(now):
            return self._refuse(now, reasons.Reason.OVERLOADED, "admission.retry")
        deadline_at = min(deadline_at, now + self._config.answer_seconds)
        feasible = self._in_time(now, deadline_at) or self._may_probe(now, deadline_at)
        if feasible and not self._queue and self._can_send(now):
            return self._send(now, request_id, caller, deadline_at)
        return self._enqueue(now, request_id, caller, deadline_at)

    def finished(
        self, now: float, request_id: int, result: outcome.Outcome
    ) -> list[decision.Decision]:
        """Handle the outcome of a sent request; an unknown request is ignored."""
        self._release_cancelled_slots(now)
        request = self._close(request_id)
        if request is None:
            return self._dispatch(now)
        is_current = request.sent_at >= self._cold_since
        if result is outcome.Outcome.TIMED_OUT:
            self._record_unanswered(now, request)
        elif not is_current:
            pass
        elif result is outcome.Outcome.SHED:
            self._record_shed(now, request)
        else:
            self._record_answer(now, request)
        return self._dispatch(now)

    def abandoned(self, now: float, request_id: int) -> list[decision.Decision]:
        """Drop a request that its caller has abandoned.

        The agent sends a cancellation if the request was already sent.
        """
        self._release_cancelled_slots(now)
        self._queue.remove(request_id)
        # Drop the pending refusal of a displaced request, which must not end twice.
        self._displaced = [d for d in self._displaced if d.request_id != request_id]
        if self._close(request_id) is not None:
            self._hold_cancelled_slot(now)
        return self._dispatch(now)

    def tick(self, now: float) -> list[decision.Decision]:
        """Expire overdue requests, refuse late ones and send queued ones."""
        self._release_cancelled_slots(now)
        decisions: list[decision.Decision] = []
        for request_id, request in list(self._open.items()):
            if request.deadline_at <= now:
                self._close(request_id)
                self._record_unanswered(now, request)
                decisions.append(expired.Expired(request_id))
        self._check_overdue(now)
        decisions.extend(self._refuse_late(now))
        decisions.extend(self._dispatch(now))
        return decisions

    def upstream_restarted(self, now: float) -> list[decision.Decision]:
        """Begin slow start after the run id has changed; all open requests are lost."""
        lost = list(self._open)
        self._open.clear()
        self._open_by_caller.clear()
        self._cancelled_slots_until.clear()
        self._begin_cold_phase(now, is_repeated=False)
        decisions: list[decision.Decision] = []
        decisions.extend(expired.Expired(r, is_lost=True) for r in lost)
        decisions.extend(self._dispatch(now))
        return decisions

    def expect_cold(self, now: float) -> list[decision.Decision]:
        """Begin slow start, since the upstream may have restarted."""
        self._begin_cold_phase(now, is_repeated=False)
        return self._dispatch(now)

    def drain(self, now: float) -> list[decision.Decision]:
        """Stop accepting new flows; requests of owned flows are still served."""
        self._draining = True
        return self._dispatch(now)

    def _enqueue(
        self, now: float, request_id: int, caller: int, deadline_at: float
    ) -> queued.Queued | refusal.Refusal:
        open_count = self._open_by_caller.get(caller, 0)
        ahead = self._queue.position(caller, open_count)
        if not self._in_time(now, deadline_at, ahead + 1):
            return self._refuse(now, reasons.Reason.DEADLINE, "admission.offer")
        if len(self._queue) >= self._queue_bound() and not self._displace(now, caller):
            return self._refuse(now, reasons.Reason.OVERLOADED, "admission.offer")
        self._queue.put(request_id, caller, deadline_at, open_count)
        return queued.Queued(request_id)

    def _displace(self, now: float, caller: int) -> bool:
        """Free a queue slot by displacing a request of the caller with the most."""
        displaced = self._queue.find_displaceable(caller)
        if displaced is None or len(self._displaced) >= self._queue_bound():
            return False
        self._queue.remove(displaced.request_id)
        cause = self._refuse(now, reasons.Reason.OVERLOADED, "admission.queue")
        self._displaced.append(refused.Refused(displaced.request_id, cause))
        return True

    def _dispatch(self, now: float) -> list[decision.Decision]:
        decisions: list[decision.Decision] = list(self._displaced)
        self._displaced.clear()
        while self._queue and self._can_send(now):
            request = self._queue.pop()
            if self._in_time(now, request.deadline_at):
                sent = self._send(
                    now, request.request_id, request.caller, request.deadline_at
                )
                decisions.append(sent)
            else:
                decisions.append(self._refuse_queued(now, request.request_id))
        return decisions

    def _send(
        self, now: float, request_id: int, caller: int, deadline_at: float
    ) -> admitted.Admitted:
        count = self.open_count + 1
        self._last_sent_at = now
        sent = open_request.OpenRequest(caller, now, deadline_at, count)
        self._open[request_id] = sent
        self._open_by_caller[caller] += 1
        return admitted.Admitted(request_id, deadline_at - now)

    def _close(self, request_id: int) -> open_request.OpenRequest | None:
        request = self._open.pop(request_id, None)
        if request is not None:
            self._open_by_caller[request.caller] -= 1
            if not self._open_by_caller[request.caller]:
                del self._open_by_caller[request.caller]
        return request

    def _refuse_late(self, now: float) -> Iterator[refused.Refused]:
        late = [
            request
            for ahead, request in enumerate(self._queue.requests())
            if not self._in_time(now, request.deadline_at, ahead)
        ]
        for request in late:
            self._queue.remove(request.request_id)
            yield self._refuse_queued(now, request.request_id)

    def _refuse_queued(self, now: float, request_id: int) -> refused.Refused:
        cause = self._refuse(now, reasons.Reason.DEADLINE, "admission.queue")
        return refused.Refused(request_id, cause)

    def _refuse(self, now: float, reason: reasons.Reason, step: str) -> refusal.Refusal:
        seconds_per_request = self._service_seconds() / self.limit
        hint = self._back_off.retry_after(now, len(self._queue), seconds_per_request)
        return refusal.Refusal(reason, step, self._config.peer, retry_after=hint)

    def _in_time(self, now: float, deadline_at: float, ahead: int = 0) -> bool:
        """Return whether a request behind `ahead` others can meet its deadline."""
        service = self._service_seconds()
        wait = ahead * service / self.limit
        return now + wait + service < deadline_at

    def _may_probe(self, now: float, deadline_at: float) -> bool:
        """Return whether to probe an idle upstream regardless of its estimate.

        Only an answer updates the estimated service time. Without a probe, an estimate
        longer than the deadlines would cause every request to be refused permanently.
        """
        is_idle = (
            self.open_count == 0 and now >= self._last_sent_at + IDLE_PROBE_SECONDS
        )
        return is_idle and now < deadline_at

    def _is_wait_short(self) -> bool:
        """Return whether the wait of one more request would be short enough."""
        service = self._service_seconds()
        ahead = len(self._queue) + 1
        if service == 0.0:
            return ahead <= self.limit
        expected = ahead * service / self.limit + service
        return expected <= SHORT_WAIT_RATIO * self._config.answer_seconds

    def _service_seconds(self) -> float:
        # A new cold phase has no measurement yet; the warm latency is a lower bound
        # for the service time of a cold upstream.
        return self._detector.service_seconds or self._warm_latency or 0.0

    def _queue_bound(self) -> int:
        return max(self._config.min_queue, self._config.queue_factor * self.limit)

    def _can_send(self, now: float) -> bool:
        count = self.open_count
        if count == 0:
            return True
        return count < self.limit and not self._is_latency_suspicious(now)

    def _is_latency_suspicious(self, now: float) -> bool:
        """Return whether recent latencies suggest to wait for an answer first."""
        return self._cold_score(now) >= cold_detector.SUSPICION_SCORE

    def _cold_score(self, now: float) -> float:
        # A request sent before an already answered one is merely slow itself and does
        # not indicate that the upstream has stopped answering.
        unanswered = (
            now - r.sent_at
            for r in self._open.values()
            if r.sent_at > self._newest_answered_sent_at
        )
        ages = itertools.islice(unanswered, MAX_OVERDUE_CHECKED)
        return self._detector.score_with(ages)

    def _check_overdue(self, now: float) -> None:
        # Earlier answers may have raised the score close to the threshold for answered
        # requests; a single slightly slow request must not exceed it then.
        score = self._cold_score(now)
        age_score = score - self._detector.score_with(())
        is_late = age_score >= cold_detector.COLD_SCORE
        if is_late or score >= cold_detector.ANSWERED_COLD_SCORE:
            self._begin_cold_phase(now, self._has_grown())

    def _record_answer(self, now: float, request: open_request.OpenRequest) -> None:
        latency = now - request.sent_at
        self._newest_answered_sent_at = max(
            self._newest_answered_sent_at, request.sent_at
        )
        if self._detector.record_latency(latency):
            self._begin_cold_phase(now, self._has_grown())
        elif self._slow_start.active:
            limit = self._slow_start.limit
            self._slow_start.record_success(now, latency, request.open_at_send)
            if self._slow_start.limit != limit or not self._slow_start.active:
                self._apply_slow_start_result(now)
        else:
            self._record_warm_answer(now, latency, request)

    def _record_warm_answer(
        self, now: float, latency: float, request: open_request.OpenRequest
    ) -> None:
        if self._baseline_probe.update(now):
            self._blocks.restart_baseline_block()
        if self._baseline_probe.active:
            is_included = self._baseline_probe.includes(request.sent_at)
            if is_included and self._blocks.record_baseline(now, latency):
                self._baseline_probe.end(now)
                self._blocks.restart_block()
            return
        is_full_use = request.open_at_send >= self._limiter.limit
        mean = self._blocks.record(now, latency, is_full_use)
        if mean is not None:
            self._record_block(now, mean)

    def _apply_slow_start_result(self, now: float) -> None:
        """Update the limiter and the capacity estimates from slow start."""
        if not self._slow_start.active:
            self._limiter.restart_at(self._slow_start.limit)
            self._baseline_probe.end(now)
            self._sustained_limit = self._slow_start.limit
        # At low load the limit may never be fully used again, so this may remain the
        # only measurement of the capacity.
        limit, mean = self._slow_start.last_step
        if mean > 0.0:
            self._capacity.raise_to(now, limit)
            self._throughput.raise_to(now, limit / mean)

    def _record_block(self, now: float, mean: float) -> None:
        limit = self._limiter.limit
        baseline = self._blocks.baseline or mean
        self._limiter.record_block(mean, baseline)
        if self._limiter.limit >= limit:
            self._sustained_limit = limit
        self._blocks.restart_block()
        self._capacity.record(now, limit)
        self._throughput.record(now, limit / max(mean, cold_detector.MIN_LATENCY))

    def _record_shed(self, now: float, request: open_request.OpenRequest) -> None:
        if self._slow_start.active:
            self._slow_start_target = max(1, request.open_at_send - 1)
            self._begin_cold_phase(now, self._has_grown())
        elif request.open_at_send <= self._sustained_limit:
            # The upstream handled this many requests before, so its state has changed.
            self._begin_cold_phase(now, is_repeated=False)
        else:
            self._limiter.record_shed(request.open_at_send)
            self._blocks.restart_block()

    def _record_unanswered(self, now: float, request: open_request.OpenRequest) -> None:
        self._hold_cancelled_slot(now)
        if request.sent_at < self._cold_since:
            return
        if self._detector.record_unanswered(now - request.sent_at):
            self._begin_cold_phase(now, self._has_grown())

    def _has_grown(self) -> bool:
        return self._slow_start.active and self._slow_start.limit > 1

    def _begin_cold_phase(self, now: float, is_repeated: bool) -> None:
        if not self._slow_start.active:
            self._slow_start_target = self._limiter.limit
            self._warm_latency = (
                self._blocks.baseline or self._detector.service_seconds or None
            )
        elif self._has_grown():
            # Growing beyond the slots of the upstream raises latencies as well. Ending
            # at the last sustained limit prevents an endless series of cold phases.
            self._slow_start_target = self._slow_start.last_step[0]
        self._slow_start.begin(
            now, self._slow_start_target, self._warm_latency, is_repeated
        )
        self._baseline_probe.disable()
        self._detector.reset()
        self._blocks.clear()
        self._sustained_limit = 0
        self._cold_since = now

    def _hold_cancelled_slot(self, now: float) -> None:
        wait = min(self._service_seconds(), MAX_CANCELLATION_SECONDS)
        heapq.heappush(self._cancelled_slots_until, now + wait)

    def _release_cancelled_slots(self, now: float) -> None:
        while self._cancelled_slots_until and self._cancelled_slots_until[0] <= now:
            heapq.heappop(self._cancelled_slots_until)
