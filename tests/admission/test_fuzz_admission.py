"""Fuzz test of admission with random requests, faults and restarts."""

from __future__ import annotations

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from limpetreel.admission import admitted, expired, outcome, queued, refusal, refused
from tests import fixtures
from tests.admission import builders

SEED = int(os.environ.get("LIMPETREEL_FUZZ_SEED", "1"))
STEPS = int(os.environ.get("LIMPETREEL_FUZZ_STEPS", "50"))
EXAMPLES = 20
MIN_QUEUE = 8
TICK_SECONDS = 0.05
RECOVERY_SECONDS = 60.0


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Model with the state of each request and the capacity of the upstream."""

    def __init__(self):
        super().__init__()
        self.controller = builders.make_controller(min_queue=MIN_QUEUE, max_limit=32)
        self.now = 0.0
        self.next_id = 1
        self.capacity = 4
        self.service = 0.1
        self.waiting = set()
        self.open = {}
        self.ended = set()
        self.offered = 0
        self.retried = 0

    def apply_decisions(self, decisions):
        for decision in decisions:
            if isinstance(decision, admitted.Admitted):
                self.waiting.remove(decision.request_id)
                self.start_request(decision)
            elif isinstance(decision, refused.Refused):
                assert decision.request_id not in self.open, "not run after it was sent"
                self.waiting.remove(decision.request_id)
                self.end_request(decision.request_id)
            else:
                assert isinstance(decision, expired.Expired)
                del self.open[decision.request_id]
                self.end_request(decision.request_id)

    def start_request(self, decision):
        assert decision.remaining > 0
        load = max(1.0, (len(self.open) + 1) / self.capacity)
        self.open[decision.request_id] = self.now + self.service * load
        assert len(self.open) <= self.controller.limit

    def end_request(self, request_id):
        assert request_id not in self.ended, "ended twice"
        self.ended.add(request_id)

    def offer(self, caller, seconds, is_retry=False):
        request_id = self.next_id
        self.next_id += 1
        result = self.controller.offer(
            self.now, request_id, caller, self.now + seconds, is_retry
        )
        if isinstance(result, admitted.Admitted):
            self.start_request(result)
        elif isinstance(result, queued.Queued):
            self.waiting.add(request_id)
        else:
            assert isinstance(result, refusal.Refusal)
            assert 1 <= result.retry_after <= 60
            self.end_request(request_id)
        self.offered += not is_retry
        self.retried += is_retry and getattr(result, "step", "") != "admission.retry"
        return result

    def answer_due(self):
        for request_id, due in list(self.open.items()):
            if due <= self.now and request_id in self.open:
                del self.open[request_id]
                self.end_request(request_id)
                result = outcome.Outcome.ANSWERED
                self.apply_decisions(
                    self.controller.finished(self.now, request_id, result)
                )

    def pass_time(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_SECONDS
            self.answer_due()
            self.apply_decisions(self.controller.tick(self.now))

    @stateful.rule(
        caller=st.integers(1, 5),
        count=st.integers(1, 40),
        seconds=st.sampled_from([-1.0, 0.0, 0.05, 0.3, 1.0, 1e9]),
    )
    def offers(self, caller, count, seconds):
        for _ in range(count):
            self.offer(caller, seconds)

    @stateful.rule(count=st.integers(1, 20))
    def retries(self, count):
        for _ in range(count):
            self.offer(1, 1.0, is_retry=True)

    @stateful.rule(seconds=st.sampled_from([0.05, 0.2, 1.0, 5.0]))
    def waits(self, seconds):
        self.pass_time(seconds)

    @stateful.rule(seconds=st.sampled_from([1.0, 5.0]), callers=st.integers(1, 8))
    def works(self, seconds, callers):
        """Keep the upstream fully loaded, so that the limit grows."""
        for i in range(int(seconds / TICK_SECONDS)):
            while len(self.waiting) < 4 and self.offer(i % callers, 1.0):
                pass
            self.pass_time(TICK_SECONDS)

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(
        data=st.data(), ending=st.sampled_from(["shed", "timed_out", "abandoned"])
    )
    def ends_badly(self, data, ending):
        request_id = data.draw(st.sampled_from(sorted(self.open)))
        del self.open[request_id]
        self.end_request(request_id)
        if ending == "abandoned":
            decisions = self.controller.abandoned(self.now, request_id)
        elif ending == "timed_out":
            result = outcome.Outcome.TIMED_OUT
            decisions = self.controller.finished(self.now, request_id, result)
        else:
            result = outcome.Outcome.SHED
            decisions = self.controller.finished(self.now, request_id, result)
        self.apply_decisions(decisions)

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=st.data())
    def gives_up_waiting(self, data):
        request_id = data.draw(st.sampled_from(sorted(self.waiting)))
        self.waiting.remove(request_id)
        self.end_request(request_id)
        self.apply_decisions(self.controller.abandoned(self.now, request_id))

    @stateful.rule(request_id=st.integers(0, 10**6))
    def reports_unknown_request(self, request_id):
        if request_id not in self.open and request_id not in self.waiting:
            result = outcome.Outcome.ANSWERED
            self.apply_decisions(self.controller.finished(self.now, request_id, result))

    @stateful.rule()
    def restarts(self):
        self.apply_decisions(self.controller.upstream_restarted(self.now))
        assert len(self.open) <= 1
        assert self.controller.limit == 1

    @stateful.rule(capacity=st.integers(1, 16), service=st.sampled_from([0.05, 0.3]))
    def changes(self, capacity, service):
        self.capacity = capacity
        self.service = service

    @stateful.rule()
    def stops_answering(self):
        for request_id in self.open:
            self.open[request_id] = float("inf")

    @stateful.invariant()
    def memory_is_bounded(self):
        assert set(self.open) == set(self.controller._open)
        bound = max(MIN_QUEUE, 4 * 32)
        assert self.controller.queued_count <= bound
        assert len(self.controller._displaced) <= bound
        assert len(self.controller._open_by_caller) <= len(self.open)
        assert len(self.controller._cancelled_slots_until) <= 32 * 20
        assert self.retried <= self.offered / 10

    def teardown(self):
        self.capacity, self.service = 4, 0.1
        for i in range(int(RECOVERY_SECONDS / TICK_SECONDS)):
            while len(self.waiting) < 4 and self.offer(i, 1.0):
                pass
            self.pass_time(TICK_SECONDS)
        assert self.controller.limit >= 2, "the limit recovers"
        self.pass_time(3.0)
        assert not self.open
        assert not self.waiting
        assert self.ended == set(range(1, self.next_id))


def test_requests_and_faults_in_any_order():
    """Guards against lost requests, wrong refusals and a limit that is exceeded."""
    limits = hypothesis.settings(
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        deadline=None,
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    machine = hypothesis.seed(SEED)(AdmissionMachine)
    stateful.run_state_machine_as_test(machine, settings=limits)


load_tests = fixtures.load_functions(globals())
