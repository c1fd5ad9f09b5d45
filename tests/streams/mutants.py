"""Deliberate faults and the test that must find each of them.

Each entry is (name, file, old text, new text, test id). The old text occurs exactly
once in the file.
"""

from __future__ import annotations

_SOURCE = "src/limpetreel/streams/"
_PLACEMENT = _SOURCE + "placement/"
_OFFERS = "tests.streams.placement.test_offers."
_READINESS = "tests.streams.placement.test_readiness."
_FAILING = "tests.streams.placement.test_failing_upstreams."
_LONG = "tests.streams.placement.test_long_flows."
_LOAD = "tests.streams.test_load_patterns."
_OWNERSHIP = "tests.streams.test_flow_ownership."
_ENDED = "tests.streams.test_ended_flows."
_UPSTREAM = "tests.streams.test_upstream_state."

MUTANTS = [
    (
        "flows wait for as long as the caller",
        _SOURCE + "flow_admission.py",
        "matched_route.answer_ms / 1000 - service - HANDSHAKE_SECONDS\n",
        "matched_route.timeout_ms / 1000\n",
        _LOAD + "test_overload_is_served_up_to_capacity",
    ),
    (
        "unresponsive upstream is not blocked",
        _SOURCE + "upstream_state.py",
        "        self._blocked_until = now + RETRY_SECONDS\n",
        "        self._blocked_until = now\n",
        _UPSTREAM + "test_upstream_that_left_an_opening_unanswered_is_blocked",
    ),
    (
        "unresponsive agent is not avoided",
        _PLACEMENT + "candidates.py",
        "            self._hints[name].record_timeout(now)\n",
        "            pass\n",
        _LOAD + "test_dead_machine_delays_few_requests",
    ),
    (
        "agents not reported to control are excluded",
        _PLACEMENT + "candidates.py",
        "record.is_accepting and record",
        "record.is_accepting and record.is_reported and record",
        _LOAD + "test_upstreams_not_reported_to_control_are_still_used",
    ),
    (
        "flows are not held while agents start",
        _PLACEMENT + "flow_placement.py",
        "if now - pending.started_at >= HOLD_SECONDS:\n",
        "if True:\n",
        _LOAD + "test_callers_are_served_once_upstreams_are_known_after_a_restart",
    ),
    (
        "flows without a request keep their slot",
        _SOURCE + "stream_agent_core.py",
        "        self._flows.release_stalled(now, MAX_OPENING_SECONDS, working)\n",
        "",
        _LOAD + "test_opened_flows_without_a_caller_release_their_slots_soon",
    ),
    (
        "packets of unknown flows are dropped",
        _SOURCE + "stream_entry_core.py",
        "            return self._find_owner(now, segment)\n        owner.last_at",
        '            return self._drop("unknown flow")\n        owner.last_at',
        _OWNERSHIP + "test_flows_survive_the_restart_of_all_entries",
    ),
    (
        "restarted agent does not forward packets of unknown flows",
        _SOURCE + "stream_agent_core.py",
        "held_flows.HeldFlows(self._flows, now + max_flow_seconds)",
        "held_flows.HeldFlows(self._flows, now)",
        _OWNERSHIP + "test_flows_survive_the_restart_of_all_agents",
    ),
    (
        "agent ignores its zone",
        _SOURCE + "stream_agent_core.py",
        "        if self._data_centre in self._view.zones_out:\n"
        "            return False\n",
        "",
        _OWNERSHIP + "test_zone_that_is_out_gets_no_new_flow",
    ),
    (
        "draining upstream gets new flows",
        _SOURCE + "upstream_state.py",
        "self._has_departed or status.is_draining:",
        "self._has_departed:",
        _OWNERSHIP
        + "test_draining_upstream_gets_no_flow_from_entries_that_do_not_know",
    ),
    (
        "late announcement is applied",
        _SOURCE + "upstream_state.py",
        "        if status.sequence <= current.sequence:\n"
        "            return Freshness.LATE\n",
        "",
        _UPSTREAM + "test_late_announcement_does_not_undo_a_drain",
    ),
    (
        "sign-off of an earlier start is applied",
        _SOURCE + "upstream_state.py",
        'belongs to the current start."""\n'
        "        if self.status is None or self.status.instance_id != instance_id:\n",
        'belongs to the current start."""\n        if self.status is None:\n',
        _UPSTREAM + "test_sign_off_of_another_start_is_ignored",
    ),
    (
        "upstream of a returned zone is not treated as cold",
        _SOURCE + "upstream_state.py",
        "        self._is_cold_time_known = False\n\n    def is_cold",
        "        pass\n\n    def is_cold",
        _UPSTREAM + "test_upstream_of_a_returned_zone_counts_as_cold",
    ),
    (
        "start rate records no flow",
        _SOURCE + "start_rate.py",
        "        self._times.append(now)\n",
        "",
        "tests.streams.test_start_rate.test_no_sliding_second_exceeds_the_rate",
    ),
    (
        "entry resets flows without a complete list of agents",
        _SOURCE + "owner_search.py",
        "            if is_list_current:\n",
        "            if True:\n",
        _ENDED + "test_flow_is_not_reset_while_the_list_of_agents_may_be_incomplete",
    ),
    (
        "agent that does not know its upstream's flows denies them",
        _SOURCE + "held_flows.py",
        "        if self.may_hold(now):\n",
        "        if False:\n",
        _ENDED + "test_restarted_agents_do_not_deny_flows_that_their_upstreams_hold",
    ),
    (
        "entry asks for each flow on its own",
        _SOURCE + "owner_search.py",
        "now < self._next_batch_at:",
        "False:",
        _ENDED + "test_search_takes_few_messages_when_many_callers_move",
    ),
    (
        "flows of an ended upstream are forgotten in silence",
        _SOURCE + "stream_agent_core.py",
        "            if flow.is_confirmed:\n",
        "            if False:\n",
        _ENDED + "test_restart_of_an_upstream_resets_its_flows_and_no_others",
    ),
    (
        "flows of a running upstream are reset when its agent stops",
        _SOURCE + "stream_agent_core.py",
        "self._reset_flows() if self.upstream.has_departed else []\n",
        "self._reset_flows()\n",
        _ENDED
        + "test_flows_of_an_upstream_that_signed_off_are_reset_when_its_agent_leaves",
    ),
    (
        "flow is offered to more agents while all are busy",
        _PLACEMENT + "flow_placement.py",
        "MAX_BUSY_ANSWERS = 4\n",
        "MAX_BUSY_ANSWERS = 400\n",
        _OFFERS + "test_overload_of_many_upstreams_takes_few_offers",
    ),
    (
        "agents that are known to be busy get offers",
        _PLACEMENT + "agent_hint.py",
        "        return now < self._busy_until\n",
        "        return False\n",
        _OFFERS + "test_overload_of_ten_upstreams_takes_few_offers",
    ),
    (
        "closed queues get offers",
        _PLACEMENT + "agent_hint.py",
        "now < self._closed_until and",
        "False and",
        _OFFERS + "test_flow_is_refused_at_once_while_no_queue_is_open",
    ),
    (
        "waiting flow goes to any agent",
        _PLACEMENT + "agent_hint.py",
        "        return max(0.0, self._wait_seconds - age)\n",
        "        return mean_wait\n",
        _OFFERS + "test_flow_waits_where_it_is_answered_soonest",
    ),
    (
        "unanswered offers are not counted",
        _PLACEMENT + "candidates.py",
        "        self._hints[name].open_offers += 1\n",
        "        pass\n",
        _OFFERS + "test_entry_avoids_agents_that_hold_its_unanswered_offers",
    ),
    (
        "entry is ready without upstreams of a service",
        _PLACEMENT + "known_services.py",
        "                knows_all or self._is_complete(now)\n",
        "                True\n",
        _READINESS + "test_entry_is_ready_once_it_knows_upstreams_of_all_services",
    ),
    (
        "entry waits for upstreams that do not exist",
        _PLACEMENT + "known_services.py",
        "                knows_all or self._is_complete(now)\n",
        "                knows_all\n",
        _READINESS + "test_service_without_upstreams_delays_readiness_by_two_seconds",
    ),
    (
        "flow of a service that is not known yet is refused",
        _PLACEMENT + "flow_placement.py",
        "        if self._services.may_appear(now, pending.service):\n",
        "        if False:\n",
        _READINESS + "test_flow_that_cannot_be_held_longer_is_not_refused",
    ),
    (
        "long flows are placed by wait",
        _PLACEMENT + "service_pool.py",
        "self._long_cost if is_long else self._short_cost\n",
        "self._short_cost\n",
        _LONG + "test_long_flows_go_to_upstreams_with_low_utilisation",
    ),
    (
        "reported utilisation is ignored",
        _PLACEMENT + "agent_hint.py",
        "max(by_flows, with_flow)\n",
        "by_flows\n",
        _LONG + "test_long_flows_go_to_upstreams_with_low_utilisation",
    ),
    (
        "hints about long flows are forgotten at once",
        _PLACEMENT + "agent_hint.py",
        "FLOWS_MAX_AGE_SECONDS = 8.0\n",
        "FLOWS_MAX_AGE_SECONDS = 0.25\n",
        _LONG + "test_long_flows_go_to_upstreams_with_low_utilisation",
    ),
    (
        "number of flows does not count",
        _PLACEMENT + "service_pool.py",
        "BALANCE_SECONDS = 0.004\n",
        "BALANCE_SECONDS = 0.0\n",
        _LONG + "test_flows_are_spread_by_number_while_nothing_else_is_known",
    ),
    (
        "late upstream is not avoided",
        _PLACEMENT + "upstream_health.py",
        'return "late"\n',
        'return ""\n',
        _FAILING + "test_late_upstream_gets_only_trials",
    ),
    (
        "stuck upstream is not avoided",
        _PLACEMENT + "upstream_health.py",
        'return "stuck"\n',
        'return ""\n',
        _FAILING + "test_stuck_upstream_gets_only_trials",
    ),
    (
        "idle upstream is not avoided",
        _PLACEMENT + "upstream_health.py",
        'return "idle"\n',
        'return ""\n',
        _FAILING + "test_upstream_that_resets_requests_gets_few_flows",
    ),
    (
        "uneven upstreams count as late",
        _PLACEMENT + "upstream_health.py",
        "LATE_FACTOR = 4.0\n",
        "LATE_FACTOR = 2.0\n",
        _FAILING + "test_slow_upstream_of_uneven_speed_does_not_count_as_failing",
    ),
    (
        "failing upstream gets no trial",
        _PLACEMENT + "service_pool.py",
        "self._trial(now, tried) if self._failing else None\n",
        "None\n",
        _FAILING + "test_late_upstream_gets_only_trials",
    ),
    (
        "refusals are not counted by service",
        _PLACEMENT + "placement_lines.py",
        "self.refusals.get(key, 0) + 1\n",
        "0\n",
        _OFFERS + "test_refusals_are_counted_by_reason_and_service",
    ),
    (
        "local upstreams are not preferred",
        _PLACEMENT + "candidates.py",
        "cost = OTHER_DATA_CENTRE_SECONDS if is_other else 0.0\n",
        "cost = 0.0\n",
        _OFFERS + "test_local_upstreams_are_preferred_until_they_are_busy",
    ),
    (
        "capacity of upstreams counts neither in draws nor in costs",
        _PLACEMENT + "agent_hint.py",
        "        self.weight = self.slots / seconds\n",
        "        self.weight = 20.0 * self.slots\n",
        _LONG + "test_uneven_upstreams_get_long_flows_by_their_speed",
    ),
    (
        "all placements of a burst are logged",
        _PLACEMENT + "line_sample.py",
        "return max(self._last_ratio, _ratio(self._count))\n",
        "return 1\n",
        "tests.streams.placement.test_line_sample.test_lines_of_a_burst_are_bounded",
    ),
]
