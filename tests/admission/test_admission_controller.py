"""Admission must neither overload an upstream nor send requests too late."""

from __future__ import annotations

from limpetreel.admission import (
    back_off,
    cold_detector,
    expired,
    outcome,
    queued,
    refusal,
    refused,
)
from limpetreel.core import reason
from tests import fixtures
from tests.admission import builders


def _end_all(load):
    """Cancel all open requests and wait until none of them holds a slot."""
    while load.open:
        for request_id in list(load.open):
            del load.open[request_id]
            load.apply_decisions(load.controller.abandoned(load.now, request_id))
    load.now += 1.5
    load.apply_decisions(load.controller.tick(load.now))


def test_limit_converges_to_the_slots():
    """Guards against a limit that stays far from the capacity of the upstream."""
    assert 4 <= builders.warm_load(slots=4).controller.limit <= 8
    assert 32 <= builders.warm_load(slots=64, seconds=30.0).controller.limit <= 128


def test_limit_follows_falling_capacity():
    """Guards against a limit that does not fall with the capacity of the upstream."""
    load = builders.warm_load(slots=16, seconds=30.0)
    before = load.controller.limit
    load.run(40.0, slots=10)
    assert not load.controller.is_cold
    assert load.controller.limit < 0.8 * before


def test_fresh_upstream_gets_one_request():
    """Guards against concurrent requests to an upstream that has just started."""
    load = builders.Load(builders.make_controller())
    load.run(2.5)
    assert load.highest_open == 1
    load.run(10.0)
    assert load.controller.limit > 1


def test_slow_start_begins_at_the_start_time_of_the_controller():
    """Guards against a hold time that is measured from time zero."""
    load = builders.Load(builders.make_controller(now=5000.0), now=5000.0)
    load.run(2.5)
    assert load.highest_open == 1


def test_restart_begins_slow_start_and_loses_open_requests():
    """Guards against full load on an upstream with a new run id."""
    load = builders.warm_load()
    lost = set(load.open)
    decisions = load.controller.upstream_restarted(load.now)
    ended = {
        d.request_id for d in decisions if isinstance(d, expired.Expired) and d.is_lost
    }
    assert ended == lost
    load.apply_decisions(decisions)
    load.run(2.5)
    assert load.highest_open == 1


def test_latency_jump_starts_a_cold_phase():
    """Guards against an undetected cold upstream, recognisable by its latency only."""
    load = builders.warm_load()
    assert not load.controller.is_cold
    load.latency *= 6
    load.run(1.5)
    assert load.controller.is_cold
    assert load.controller.limit == 1


def test_unresponsive_upstream_gets_no_more_requests():
    """Guards against sending more to an upstream that has stopped answering."""
    load = builders.warm_load()
    load.latency = 100.0
    load.run(0.3)
    held = set(load.open)
    load.run(0.5)
    assert set(load.open) <= held
    assert load.controller.is_cold


def test_shed_at_a_sustained_load_starts_a_cold_phase():
    """Guards against load on an upstream that sheds what it handled before."""
    load = builders.warm_load()
    _end_all(load)
    result = load.offer()
    load.controller.finished(load.now, result.request_id, outcome.Outcome.SHED)
    assert load.controller.is_cold


def test_short_deadlines_start_no_cold_phase():
    """Guards against a caller whose short deadlines cause slow start for all others."""
    load = builders.warm_load()
    for _ in range(20):
        load.offer(seconds=builders.SERVICE_SECONDS * 1.02)
        load.run(0.1)
    assert not load.controller.is_cold


def test_request_that_cannot_meet_its_deadline_is_refused():
    """Guards against sending requests whose answer arrives after the deadline."""
    load = builders.warm_load()
    result = load.offer(seconds=builders.SERVICE_SECONDS / 2)
    assert isinstance(result, refusal.Refusal)
    assert result.reason is reason.Reason.DEADLINE


def test_queued_request_is_refused_once_it_cannot_meet_its_deadline():
    """Guards against sending a request that has waited too long in the queue."""
    load = builders.warm_load()
    while load.controller.open_count < load.controller.limit:
        load.offer()
    result = load.offer(seconds=0.35)
    assert isinstance(result, queued.Queued)
    ended = load.controller.tick(load.now + 0.3)
    assert result.request_id in {
        d.request_id for d in ended if isinstance(d, refused.Refused)
    }


def test_open_request_expires_and_holds_its_slot_for_the_cancellation():
    """Guards against an overdue request without cancellation or with a reused slot."""
    load = builders.Load(builders.make_controller())
    first = load.offer(seconds=0.5)
    decisions = load.controller.tick(0.5)
    assert decisions == [expired.Expired(first.request_id)]
    again = load.controller.finished(0.6, first.request_id, outcome.Outcome.ANSWERED)
    assert again == []


def test_queue_is_bounded():
    """Guards against unbounded memory use by a flood of requests."""
    load = builders.Load(builders.make_controller(min_queue=8))
    results = [load.offer(seconds=2.0) for _ in range(1000)]
    assert sum(isinstance(r, queued.Queued) for r in results) == 8
    assert results[-1].reason is reason.Reason.OVERLOADED
    load.controller.tick(0.1)
    assert load.controller.queued_count <= 8


def test_flooding_caller_leaves_places_to_others():
    """Guards against a single caller that fills the queue."""
    load = builders.Load(builders.make_controller(min_queue=8))
    for _ in range(100):
        load.offer(caller=7)
    other = load.offer(caller=8)
    assert isinstance(other, queued.Queued)
    displaced = load.controller.tick(0.0)
    assert len(displaced) == 1
    load.apply_decisions(displaced)
    load.now = 0.1
    load.answer(next(iter(load.open)))
    assert list(load.open) == [other.request_id]


def test_abandoned_request_is_not_refused_after_it_was_displaced():
    """Guards against a request that ends twice, as abandoned and as refused."""
    load = builders.Load(builders.make_controller(min_queue=4))
    ids = [load.offer(caller=7).request_id for _ in range(5)]
    assert isinstance(load.offer(caller=8), queued.Queued)
    decisions = load.controller.abandoned(0.0, ids[-1])
    assert decisions == []


def test_growth_beyond_the_slots_does_not_restart_slow_start_forever():
    """Guards against a slow start that repeatedly grows beyond the slots."""
    load = builders.Load(builders.make_controller())
    while load.controller.limit < 3:
        load.run(0.1)
    load.latency = 100.0
    load.run(1.5)
    assert load.controller.limit == 1
    load.latency = builders.SERVICE_SECONDS
    load.run(20.0)
    assert not load.controller.is_cold, "slow start ends at the last sustained limit"


def test_queue_is_first_in_first_out_between_equal_callers():
    """Guards against callers overtaking each other."""
    load = builders.Load(builders.make_controller())
    wanted = [load.offer(caller=c).request_id for c in (1, 2, 3, 4)]
    served = []
    while load.open:
        served.extend(load.open)
        load.now += 0.1
        load.answer(served[-1])
    assert served == wanted


def test_retries_stay_within_their_budget():
    """Guards against retries that amplify an overload."""
    load = builders.Load(builders.make_controller())
    for _ in range(100):
        load.offer()
    steps = [getattr(load.offer(is_retry=True), "step", "") for _ in range(50)]
    assert steps.count("admission.retry") == 40
    load.now = 11.0
    assert load.offer(is_retry=True).step == "admission.retry"


def test_retry_hints_grow_with_the_overload_and_differ():
    """Guards against refused callers that all retry at the same time."""
    load = builders.warm_load()
    early = [g for g in (load.offer() for _ in range(60)) if not g][:5]
    late = [load.offer().retry_after for _ in range(2000)][-500:]
    assert len(set(late)) > 3
    assert sum(late) / len(late) > max(e.retry_after for e in early)
    assert max(late) <= 60


def test_equal_waits_give_different_retry_hints():
    """Guards against callers of different agents that retry at the same time."""
    hints = {back_off.BackOff(s).retry_after(0.0, 10, 0.5) for s in range(20)}
    assert len(hints) > 3


def test_request_id_in_use_is_not_refused_as_not_run():
    """Guards against reporting a request as not run while its id is open."""
    load = builders.Load(builders.make_controller())
    load.offer()
    result = load.controller.offer(0.0, 1, 1, 1.0)
    assert not result
    assert not isinstance(result, refusal.Refusal)


def test_one_slow_request_after_slow_answers_starts_no_cold_phase():
    """Guards against slow start of a warm upstream because of random slow answers."""
    load = builders.warm_load(slots=4)
    controller = load.controller
    _end_all(load)
    controller._detector._score = cold_detector.COLD_SCORE - 0.1
    typical = controller._detector.service_seconds
    load.offer(seconds=100.0)
    load.apply_decisions(controller.tick(load.now + 1.7 * typical))
    assert not controller.is_cold
    load.apply_decisions(controller.tick(load.now + 20.0 * typical))
    assert controller.is_cold


def test_last_agent_queues_flows_for_a_short_wait():
    """Guards against refusals and long waits where no other agent is left to try."""
    load = builders.warm_load(slots=4)
    controller = load.controller
    _end_all(load)
    while controller.can_accept_flow(load.now):
        load.offer()
    waiting = 0
    while controller.can_accept_flow(load.now, is_last=True):
        load.offer()
        waiting += 1
        assert waiting < 1000
    assert waiting > controller.limit
    assert controller.queued_count == waiting


def test_new_flow_is_accepted_by_true_load_only():
    """Guards against new flows at an agent that has no free slot or is draining."""
    load = builders.warm_load()
    controller = load.controller
    assert not controller.can_accept_flow(load.now)
    _end_all(load)
    assert controller.can_accept_flow(load.now)
    controller.drain(load.now)
    assert not controller.can_accept_flow(load.now, is_last=True)
    assert load.offer(), "requests of owned flows are still served"


def test_capacity_does_not_follow_a_short_cold_phase():
    """Guards against a share that changes, and so moves flows, at each restart."""
    load = builders.warm_load()
    before = load.controller.capacity()
    load.apply_decisions(load.controller.upstream_restarted(load.now))
    load.run(3.0)
    assert load.controller.capacity() == before
    assert load.controller.throughput() > 0


def test_idle_upstream_gets_a_probe_in_spite_of_its_estimate():
    """Guards against a high estimate that refuses all requests and is never updated."""
    controller = builders.make_controller(answer_seconds=0.5)
    now = 0.0
    for request_id in range(3):
        assert controller.offer(now, request_id, 1, now + 0.5)
        controller.finished(now + 0.45, request_id, outcome.Outcome.ANSWERED)
        now += 0.5
    assert not controller.offer(now, 3, 1, now + 0.4)
    now += 2.0
    assert controller.offer(now, 4, 1, now + 0.4)
    controller.finished(now + 0.05, 4, outcome.Outcome.ANSWERED)
    assert not controller.offer(now, 5, 1, now)


load_tests = fixtures.load_functions(globals())
