"""Deliberate faults and the test that must find each of them.

Each entry is (name, file, old text, new text, test id). The old text occurs exactly
once in the file.
"""

from __future__ import annotations

_SOURCE = "src/limpetreel/streams/"
_LOAD = "tests.streams.test_load_patterns."
_OWNERSHIP = "tests.streams.test_flow_ownership."
_ENDED = "tests.streams.test_ended_flows."
_UPSTREAM = "tests.streams.test_upstream_state."
_PROBES = "tests.streams.test_probes."
_START = "tests.streams.ownership.test_upstream_start."
_OWNER = _SOURCE + "ownership/"

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
        _SOURCE + "candidates.py",
        "            self._hints[name].record_timeout(now)\n",
        "            pass\n",
        _LOAD + "test_dead_machine_delays_few_requests",
    ),
    (
        "agents not reported to control are excluded",
        _SOURCE + "candidates.py",
        "                cost += UNREPORTED_SECONDS\n",
        "                continue\n",
        _LOAD + "test_upstreams_not_reported_to_control_are_still_used",
    ),
    (
        "flows are not held while agents start",
        _SOURCE + "stream_entry_core.py",
        "        return is_in_time and (is_starting or is_incomplete)\n",
        "        return False\n",
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
        "        if self.status is None or self.status.instance_id != instance_id:\n"
        "            return False\n"
        "        self._has_departed = True\n"
        "        return True\n",
        "        self._has_departed = True\n        return True\n",
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
        _SOURCE + "ownership/owner_search.py",
        "            elif self.is_list_current and now - flow.denied_at",
        "            elif now - flow.denied_at",
        _ENDED + "test_flow_is_not_reset_while_the_list_of_agents_may_be_incomplete",
    ),
    (
        "agent that does not know its upstream's flows denies them",
        _SOURCE + "ownership/held_flows.py",
        "        may_hold = self.may_hold(now)\n",
        "        may_hold = False\n",
        _ENDED + "test_restarted_agents_do_not_deny_flows_that_their_upstreams_hold",
    ),
    (
        "entry asks for each flow on its own",
        _SOURCE + "ownership/owner_search.py",
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
        "            if not self.upstream.has_departed:\n",
        "            if False:\n",
        _ENDED
        + "test_flows_of_an_upstream_that_signed_off_are_reset_when_its_agent_leaves",
    ),
    (
        "unsure agent tries each packet",
        _OWNER + "held_flows.py",
        "        if self.current_probe(now, segment.flow) is not None:\n",
        "        if False:\n",
        _PROBES + "test_unsure_agent_tries_one_packet_and_then_tells_the_result",
    ),
    (
        "offered flow counts as owned",
        _OWNER + "held_flows.py",
        "        return flow.first_sequence is not None and flow.has_sent(ack)\n",
        "        return flow.has_sent(ack)\n",
        _PROBES + "test_offered_flow_without_an_answer_is_not_owned",
    ),
    (
        "all packets from a wrong entry are tried",
        _OWNER + "held_flows.py",
        "        if probed is None or now - probed.sent_at >= RETURN_SECONDS:\n",
        "        if True:\n",
        _PROBES + "test_packets_for_the_owner_follow_the_first_unless_it_is_returned",
    ),
    (
        "all unsure agents are probed while another one is silent",
        _OWNER + "owner_search.py",
        "            del targets[self._budget.left(now, flow.flow) :]\n",
        "",
        _PROBES + "test_few_of_many_unsure_agents_are_probed_while_one_is_silent",
    ),
    (
        "unsure agents are probed before the others have answered",
        _OWNER + "owner_search.py",
        "        if not has_owner and now - flow.began_at < PROBE_DELAY_SECONDS:\n",
        "        if False:\n",
        _PROBES + "test_late_owner_is_awaited_before_unsure_agents_are_probed",
    ),
    (
        "probes of other entries are not counted",
        _OWNER + "owner_search.py",
        "                self._budget.record_report(now, key, source)\n",
        "                pass\n",
        _PROBES + "test_probes_of_an_earlier_process_of_the_entry_count",
    ),
    (
        "all unsure agents are probed while the list may be incomplete",
        _OWNER + "owner_search.py",
        "        has_owner = self.is_list_current and not flow.awaits_sure_agent\n",
        "        has_owner = not flow.awaits_sure_agent\n",
        _PROBES + "test_owner_that_is_not_in_the_list_limits_the_probes",
    ),
    (
        "flow whose probe is unanswered counts as missing",
        _OWNER + "owner_search.py",
        "        named = {*message.owned, *message.unsure, *message.pending}\n",
        "        named = {*message.owned, *message.unsure}\n",
        _PROBES + "test_flow_at_an_upstream_that_hangs_is_not_reset",
    ),
    (
        "questions of each start have the same numbers",
        _SOURCE + "stream_entry_core.py",
        "random.Random(seed).getrandbits(FIRST_NUMBER_BITS)",
        "0",
        _PROBES + "test_numbers_of_questions_differ_between_starts_of_an_entry",
    ),
    (
        "search is forgotten while the list may be incomplete",
        _OWNER + "owner_search.py",
        "                flow.await_list()\n",
        "                pass\n",
        _ENDED + "test_callers_are_reset_once_the_list_of_agents_is_complete",
    ),
    (
        "all agents are asked at once",
        _OWNER + "known_agents.py",
        "[near, far] if len(records) >= MIN_AGENTS else [records]",
        "[records]",
        "tests.streams.ownership.test_known_agents."
        "test_agents_of_the_local_data_centre_are_asked_first",
    ),
    (
        "agents of other data centres are never asked",
        _OWNER + "known_agents.py",
        "        parts = [near, far] if",
        "        parts = [near] if",
        "tests.streams.ownership.test_known_agents."
        "test_flows_of_other_data_centres_are_found_as_well",
    ),
    (
        "agents that become known one by one are asked one by one",
        _OWNER + "sought_flow.py",
        "            if is_later and self.groups:\n",
        "            if False:\n",
        "tests.streams.ownership.test_known_agents."
        "test_flows_are_found_once_the_list_is_complete_after_a_common_restart",
    ),
    (
        "agents of other services are not asked before a reset",
        _OWNER + "known_agents.py",
        "if 0 < len(agents) <= MAX_OTHER_AGENTS else []",
        "if False else []",
        _ENDED + "test_flow_of_a_service_that_its_route_has_lost_is_not_reset",
    ),
    (
        "start of the upstream is not compared with the agent's",
        _OWNER + "upstream_start.py",
        "        is_started_within = -TOLERANCE_SECONDS <= started <= age\n",
        "        is_started_within = True\n",
        _START + "test_missing_or_contradicting_values_stay_unsure",
    ),
    (
        "start of the upstream may be in the future",
        _OWNER + "upstream_start.py",
        "-TOLERANCE_SECONDS <= started <= age",
        "-TOLERANCE_SECONDS <= started",
        _START + "test_missing_or_contradicting_values_stay_unsure",
    ),
    (
        "cold time of the upstream is not compared with the agent's age",
        _OWNER + "upstream_start.py",
        "        is_cold_for_less = cold_seconds - left <= age\n",
        "        is_cold_for_less = True\n",
        _START + "test_clock_that_was_set_back_does_not_make_an_old_upstream_young",
    ),
    (
        "warm upstream counts as started",
        _OWNER + "upstream_start.py",
        "        if not 0 < left <= cold_seconds:\n",
        "        if left > cold_seconds:\n",
        _START + "test_warm_return_stays_unsure",
    ),
    (
        "number of announcements is not compared with the agent's age",
        _OWNER + "upstream_start.py",
        "        has_announced_for_less = (status.sequence - 1)"
        " * self._interval_seconds <= age\n",
        "        has_announced_for_less = True\n",
        _START + "test_missing_or_contradicting_values_stay_unsure",
    ),
]
