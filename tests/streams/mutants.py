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
_LARGE = "tests.streams.serving.test_large_requests."
_HELD = "tests.streams.serving.test_held_requests."
_QUEUE = "tests.streams.serving.test_waiting_queue."
_VERDICT = "tests.streams.serving.test_verdict_load."
_TRACKER = "tests.streams.serving.test_request_tracker."

MUTANTS = [
    (
        "flows wait for as long as the caller",
        _SOURCE + "serving/flow_admission.py",
        "matched_route.answer_ms / 1000 - response - HANDSHAKE_SECONDS\n",
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
        "        if self.status is None or self.status.instance_id != instance_id:\n",
        "        if self.status is None:\n",
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
        _SOURCE + "serving/start_rate.py",
        "        self._times.append(now)\n",
        "",
        "tests.streams.serving.test_start_rate.test_no_sliding_second_exceeds_the_rate",
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
        "request that still arrives occupies a slot",
        _SOURCE + "serving/request_tracker.py",
        "        if flow.has_last_packet and not flow.gaps:\n",
        "        if True:\n",
        _LARGE + "test_uploads_are_not_refused_while_slots_are_free",
    ),
    (
        "request of full packets does not end",
        _SOURCE + "serving/request_tracker.py",
        "if now - flow.data_at >= SILENCE_SECONDS and not flow.gaps",
        "if False",
        _TRACKER + "test_request_of_full_packets_ends_after_a_silence",
    ),
    (
        "request with missing packets ends after a silence",
        _SOURCE + "serving/request_tracker.py",
        "SILENCE_SECONDS and not flow.gaps",
        "SILENCE_SECONDS",
        _TRACKER + "test_packet_that_fills_a_gap_starts_no_request_and_may_end_one",
    ),
    (
        "any number of flows may send requests",
        _SOURCE + "flow_set.py",
        "len(self._occupying) + (excess if excess > 0 else 0)",
        "len(self._occupying)",
        _TRACKER + "test_flows_that_send_a_request_are_bounded",
    ),
    (
        "wait in the upstream's queue counts as service time",
        _SOURCE + "serving/slot_occupancy.py",
        "            self._serving[following] = now\n",
        "            self._serving[following] = following.data_at\n",
        _TRACKER + "test_wait_in_the_queue_of_the_upstream_is_no_service_time",
    ),
    (
        "requests on open flows are not held",
        _SOURCE + "serving/request_gate.py",
        "if self._admission.has_free_slot() or not _may_hold(flow, packet):",
        "if True:",
        _HELD + "test_lookups_on_fresh_flows_are_in_time_beside_long_flows",
    ),
    (
        "requests are held until their time limit",
        _SOURCE + "serving/flow_admission.py",
        "matched_route.answer_ms / 1000 / HOLD_DIVISOR",
        "matched_route.timeout_ms / 1000",
        _HELD + "test_no_request_is_held_longer_than_a_quarter_of_its_target",
    ),
    (
        "request of a caller that has left is kept",
        _SOURCE + "serving/request_gate.py",
        "        if packet.is_reset or (packet.is_fin and not packet.size):\n",
        "        if False:\n",
        _HELD + "test_caller_that_leaves_discards_what_is_held",
    ),
    (
        "request that ends with a FIN is discarded",
        _SOURCE + "serving/request_gate.py",
        "packet.is_reset or (packet.is_fin and not packet.size)",
        "packet.is_reset or packet.is_fin",
        _HELD + "test_request_that_ends_with_fin_is_not_discarded",
    ),
    (
        "packets without data are held",
        _SOURCE + "serving/request_gate.py",
        "if not packet.size or not request_tracker.is_new_data(flow, packet):",
        "if False:",
        _HELD + "test_request_is_forwarded_when_a_slot_is_free",
    ),
    (
        "late release of a request is not logged",
        _SOURCE + "serving/request_gate.py",
        "        if now > held.answer_at:\n",
        "        if False:\n",
        _HELD + "test_request_that_was_held_during_a_pause_is_logged",
    ),
    (
        "any number of packets is held",
        _SOURCE + "serving/held_request.py",
        "packet.sequence in self._packets or len(self._packets) < MAX_PACKETS",
        "True",
        _HELD + "test_what_exceeds_the_bounds_is_forwarded",
    ),
    (
        "any number of bytes is held",
        _SOURCE + "serving/waiting_queue.py",
        "        if not has_room or not item.has_room(packet):\n",
        "        if not item.has_room(packet):\n",
        _HELD + "test_what_exceeds_the_bounds_is_forwarded",
    ),
    (
        "held packets are forwarded in the order of arrival",
        _SOURCE + "serving/held_request.py",
        "key=lambda p: (p.sequence - start) & 0xFFFFFFFF",
        "key=lambda p: 0",
        _HELD + "test_request_is_forwarded_when_a_slot_is_free",
    ),
    (
        "callers are served in order of arrival only",
        _SOURCE + "serving/waiting_lane.py",
        "        self._order.put(item.number, caller, item.expires_at, running)\n",
        "        self._order.put(item.number, item.number, item.expires_at, 0)\n",
        _HELD + "test_caller_address_with_many_flows_gets_no_more_than_its_share",
    ),
    (
        "what is late goes before what can be in time",
        _SOURCE + "serving/waiting_queue.py",
        "    is_late = answer_at > first.answer_at\n",
        "    is_late = False\n",
        _QUEUE + "test_order_is_in_time_then_priority_then_arrival",
    ),
    (
        "priority is ignored",
        _SOURCE + "serving/waiting_queue.py",
        "is_late, first.route.priority, first.number",
        "is_late, 0, first.number",
        _HELD + "test_priority_decides_before_arrival",
    ),
    (
        "routes starve",
        _SOURCE + "serving/waiting_queue.py",
        "    return not lane.is_starved(now), is_late",
        "    return True, is_late",
        _QUEUE + "test_no_route_starves",
    ),
    (
        "openings of a cold upstream exceed the rate of new flows",
        _SOURCE + "serving/waiting_queue.py",
        "if len(lane) and may_serve(now, lane.first, lane.is_starved(now))",
        "if len(lane)",
        _QUEUE + "test_cold_upstream_serves_requests_while_openings_wait",
    ),
    (
        "verdicts carry no utilisation",
        _SOURCE + "serving/verdict_writer.py",
        "            self._slots.utilisation(now),\n",
        "            0,\n",
        _VERDICT + "test_verdicts_report_flows_utilisation_and_length_of_flows",
    ),
    (
        "second requests are not learned",
        _SOURCE + "serving/request_tracker.py",
        "        if flow.requests == 2:  # each flow counts once\n",
        "        if False:\n",
        _VERDICT + "test_verdicts_report_flows_utilisation_and_length_of_flows",
    ),
    (
        "held request of a removed flow is forwarded",
        _SOURCE + "serving/request_gate.py",
        "        if self._flows.get(flow.key) is not flow:\n            return []\n",
        "",
        _HELD + "test_request_of_a_flow_that_its_upstream_lost_is_dropped",
    ),
    (
        "forwarded requests keep out openings",
        _SOURCE + "serving/flow_admission.py",
        "        if occupied - forced >= self._capacity.limit():\n",
        "        if True:\n",
        _HELD + "test_lookups_get_their_share_while_feeds_exceed_the_capacity",
    ),
    (
        "openings exceed the queue of the upstream",
        _SOURCE + "serving/flow_admission.py",
        "occupied < slots * QUEUED_PER_SLOT and now",
        "now",
        _HELD + "test_openings_do_not_exceed_the_queue_of_the_upstream",
    ),
    (
        "openings of equal priority overtake requests",
        _SOURCE + "serving/flow_admission.py",
        "                has_waited\n",
        "                True\n",
        _HELD + "test_openings_of_equal_priority_wait_as_long_as_requests_do",
    ),
    (
        "requests are held for seconds on routes of slow requests",
        _SOURCE + "serving/flow_admission.py",
        "    return min(MAX_HOLD_SECONDS, seconds)\n",
        "    return seconds\n",
        _HELD + "test_requests_of_slow_routes_are_held_for_a_short_time",
    ),
    (
        "rest of a request is awaited for ever",
        _SOURCE + "flow_set.py",
        "[*self._occupying, *self._receiving]",
        "list(self._occupying)",
        _TRACKER + "test_request_that_stops_halfway_is_given_up",
    ),
    (
        "closed flows count as open",
        _SOURCE + "flow_set.py",
        "        self._closed.add(flow)\n",
        "",
        _TRACKER + "test_closed_flows_do_not_count_as_open",
    ),
]
