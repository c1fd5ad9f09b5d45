"""Deliberate faults, each with the test that must find it.

Each entry is (name, file, old text, new text, test id).
"""

from __future__ import annotations

_AGENT = "src/limpetreel/agent/"
_CORE = "tests.agent.test_agent_core."

MUTANTS = [
    (
        "another run is believed at once",
        _AGENT + "agent_core.py",
        "        if restarted and now - self._announced_at <= OVERDUE_SECONDS:\n",
        "        if False:\n",
        _CORE + "test_announcement_of_another_run_changes_nothing_while_the_known_one_"
        "lives",
    ),
    (
        "skip the class check",
        _AGENT + "agent_core.py",
        "        if received.class_id != self._class.class_id:\n",
        "        if False:\n",
        _CORE + "test_packet_of_another_class_is_dropped",
    ),
    (
        "answer to the wrong token",
        _AGENT + "request_service.py",
        "        pending = self._pending_by_token.get(message.token)\n",
        "        pending = next(iter(self._pending_by_token.values()), None)\n",
        _CORE + "test_answer_with_an_unknown_token_is_dropped",
    ),
    (
        "answer to the token of another flow",
        _AGENT + "request_service.py",
        "        if pending.key.flow != flow:\n",
        "        if False:\n",
        _CORE + "test_answer_with_an_unknown_token_is_dropped",
    ),
    (
        "same tokens after a restart",
        _AGENT + "request_service.py",
        "self._last_id = (incarnation << INCARNATION_SHIFT) % ID_MODULUS",
        "self._last_id = 0",
        "tests.agent.test_tokens.test_tokens_of_two_incarnations_differ",
    ),
    (
        "retry a non-idempotent request after it was sent",
        _AGENT + "request_service.py",
        "            pending.req.idempotent\n            and ",
        "            ",
        _CORE + "test_restart_of_the_upstream_ends_non_idempotent_requests_as_unknown",
    ),
    (
        "disable the duplicate filter",
        _AGENT + "request_service.py",
        "        if recorded.kind is lookup_result.Kind.REPEATED:\n",
        "        if False:\n",
        _CORE + "test_duplicates_get_the_recorded_answer",
    ),
    (
        "no cancellation after the deadline",
        _AGENT + "request_service.py",
        "        if not is_lost:\n",
        "        if False:\n",
        _CORE + "test_request_that_is_not_answered_is_cancelled_and_unknown",
    ),
    (
        "send queued requests after the zone was taken out",
        _AGENT + "agent_core.py",
        "                    if not self.link.right.may_serve(now, self.link.table):\n",
        "                    if False:\n",
        "tests.agent.test_agent_serving_right."
        "test_queued_request_is_not_sent_without_a_lease",
    ),
    (
        "keep queued requests when the zone is taken out",
        _AGENT + "agent_core.py",
        "            actions += self._requests.drop_queued(now)\n",
        "            pass\n",
        "tests.agent.test_zone_out."
        "test_queued_requests_do_not_run_after_the_zone_came_back",
    ),
    (
        "run without waiting for the claim",
        _AGENT + "request_service.py",
        "        if message.idempotent:\n"
        "            return self._offer(now, pending)\n",
        "        if pending:\n            return self._offer(now, pending)\n",
        "tests.site.test_claim_end.test_lost_acknowledgement_ends_as_not_run",
    ),
    (
        "refuse after a lost acknowledgement without a lease of its own",
        _AGENT + "request_service.py",
        "ended.is_sole and self._right.has_own_lease(now)",
        "True",
        "tests.site.test_claim_end."
        "test_lost_acknowledgement_without_own_lease_ends_as_unknown",
    ),
    (
        "refuse an idempotent request in spite of a departure",
        _AGENT + "request_service.py",
        "        return has_lease and not self._router.may_have_run_elsewhere(now)\n",
        "        return has_lease\n",
        "tests.site.test_refusals."
        "test_request_that_a_lost_owner_has_run_is_not_refused_as_not_run",
    ),
    (
        "ignore the refusal of an earlier holder",
        _AGENT + "request_service.py",
        "        if self._router.is_refused(key):\n",
        "        if False:\n",
        "tests.site.test_refusals.test_refusal_survives_the_removal_of_the_zone",
    ),
    (
        "return through a lost entry",
        _AGENT + "return_path.py",
        "            and m.state is not member_state.MemberState.LOST\n",
        "",
        "tests.agent.test_return_path."
        "test_answer_goes_through_another_entry_if_the_first_has_left",
    ),
]
