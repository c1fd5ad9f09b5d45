"""Deliberate faults and the test that must find each of them.

Each entry is (name, file, old text, new text, test id). The old text occurs exactly
once in the file.
"""

from __future__ import annotations

_SOURCE = "src/limpetreel/admission/"
_TESTS = "tests.admission.test_admission_controller."

MUTANTS = [
    (
        "no slow start on restart",
        _SOURCE + "admission_controller.py",
        "        self._begin_cold_phase(now, is_repeated=False)\n        decisions: ",
        "        decisions: ",
        _TESTS + "test_restart_begins_slow_start_and_loses_open_requests",
    ),
    (
        "no deadline check",
        _SOURCE + "admission_controller.py",
        "        return now + wait + service < deadline_at\n",
        "        return True\n",
        _TESTS + "test_request_that_cannot_meet_its_deadline_is_refused",
    ),
    (
        "unbounded queue",
        _SOURCE + "admission_controller.py",
        "return max(self._config.min_queue, self._config.queue_factor * self.limit)",
        "return 1 << 60",
        _TESTS + "test_queue_is_bounded",
    ),
    (
        "unlimited retries",
        _SOURCE + "retry_budget.py",
        "            return False\n",
        "            return True\n",
        _TESTS + "test_retries_stay_within_their_budget",
    ),
    (
        "limit never falls",
        _SOURCE + "gradient_limiter.py",
        "        gradient = min(1.0, LATENCY_TOLERANCE * baseline / mean)\n",
        "        gradient = 1.0\n",
        _TESTS + "test_limit_follows_falling_capacity",
    ),
    (
        "cold upstream not detected by its latency",
        _SOURCE + "cold_detector.py",
        "        return (value - self._mean) / self._deviation() "
        "- ALLOWED_DEVIATIONS\n",
        "        return -ALLOWED_DEVIATIONS\n",
        _TESTS + "test_latency_jump_starts_a_cold_phase",
    ),
    (
        "refusals of the upstream ignored",
        _SOURCE + "admission_controller.py",
        "            self._record_shed(now, request)\n",
        "            pass\n",
        _TESTS + "test_shed_at_a_sustained_load_starts_a_cold_phase",
    ),
    (
        "hold time counts from zero",
        _SOURCE + "slow_start.py",
        "        self._started_at = now\n",
        "        self._started_at = 0.0\n",
        _TESTS + "test_restart_begins_slow_start_and_loses_open_requests",
    ),
    (
        "no fairness between callers",
        _SOURCE + "wait_queue.py",
        "return self._virtual_time + open_count + self._by_caller.get(caller, 0)\n",
        "return self._virtual_time\n",
        _TESTS + "test_flooding_caller_leaves_places_to_others",
    ),
    (
        "no displacement of a flood",
        _SOURCE + "wait_queue.py",
        "        if count < self._by_caller.get(caller, 0) + 2:\n",
        "        if count:\n",
        _TESTS + "test_flooding_caller_leaves_places_to_others",
    ),
    (
        "hints without jitter",
        _SOURCE + "back_off.py",
        "self._random.randint(low, high)",
        "low",
        _TESTS + "test_equal_waits_give_different_retry_hints",
    ),
    (
        "displaced request ends twice",
        _SOURCE + "admission_controller.py",
        " if d.request_id != request_id]",
        "]",
        _TESTS + "test_abandoned_request_is_not_refused_after_it_was_displaced",
    ),
    (
        "slow start repeatedly exceeds the slots",
        _SOURCE + "admission_controller.py",
        "            self._slow_start_target = self._slow_start.last_step[0]\n",
        "            pass\n",
        _TESTS + "test_growth_beyond_the_slots_does_not_restart_slow_start_forever",
    ),
    (
        "no probe of an idle upstream",
        _SOURCE + "admission_controller.py",
        "self._in_time(now, deadline_at) or self._may_probe(now, deadline_at)\n",
        "self._in_time(now, deadline_at)\n",
        _TESTS + "test_idle_upstream_gets_a_probe_in_spite_of_its_estimate",
    ),
    (
        "no slow start at the first start",
        _SOURCE + "admission_controller.py",
        "        if self._slow_start.active:\n"
        "            return self._slow_start.limit\n",
        "",
        _TESTS + "test_fresh_upstream_gets_one_request",
    ),
    (
        "take new flows while draining",
        _SOURCE + "admission_controller.py",
        "        if self._draining:\n            return False\n",
        "",
        _TESTS + "test_new_flow_is_accepted_by_true_load_only",
    ),
]
