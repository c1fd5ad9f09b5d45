"""Deliberate faults, each with the test that must find it.

Each entry is (name, file, old text, new text, test id).
"""

from __future__ import annotations

SOURCE = "src/limpetreel/"
TAKEOVER = "tests.flows.test_takeover."
CLAIMS = "tests.requests.test_claims."
LOG = "tests.requests.test_request_log."

MUTANTS = [
    (
        "skip the incarnation check",
        SOURCE + "flows/takeover_core.py",
        "return member is not None and member.incarnation == peer[1]",
        "return member is not None",
        TAKEOVER + "test_flow_is_not_relayed_to_an_earlier_incarnation",
    ),
    (
        "skip fencing",
        SOURCE + "flows/takeover_core.py",
        "            state.is_serving = False\n            self._directory.drop",
        "            self._directory.drop",
        TAKEOVER + "test_fenced_agents_do_not_acknowledge",
    ),
    (
        "acknowledge claims when fenced",
        SOURCE + "flows/flow_router.py",
        "        if not (is_holder or is_backup):\n",
        "        if False:\n",
        TAKEOVER + "test_fenced_agents_do_not_acknowledge",
    ),
    (
        "become holder without all replies",
        SOURCE + "flows/takeover_core.py",
        "        if self._pending_peers(state):\n            return\n",
        "        if self._pending_peers(state) and not state.assemblers:\n"
        "            return\n",
        TAKEOVER + "test_holder_waits_for_every_member",
    ),
    (
        "drop a previous holder's copy too soon",
        SOURCE + "flows/takeover_core.py",
        "KEEP_COPY_SECONDS = lifetime.EXCHANGE_SECONDS",
        "KEEP_COPY_SECONDS = 1.0",
        TAKEOVER + "test_second_takeover_right_after_the_first_loses_nothing",
    ),
    (
        "run without the acknowledgement",
        SOURCE + "requests/claim_core.py",
        "return backup is not None and not backup.is_holder",
        "return True",
        CLAIMS + "test_claim_needs_both_acknowledgements",
    ),
    (
        "count acknowledgements of all epochs together",
        SOURCE + "requests/claim_core.py",
        "pending.acks.setdefault(ack.epoch, {})[sender] = ack",
        "pending.acks.setdefault(ack.epoch, pending.acks.get(5, {}))[sender] = ack",
        CLAIMS + "test_acknowledgements_of_two_epochs_do_not_count_together",
    ),
    (
        "drop the claims at takeover",
        SOURCE + "flows/takeover_core.py",
        "                self._claims.merge(now, bucket, part.claims)\n",
        "",
        TAKEOVER + "test_claims_reach_a_holder_that_was_not_backup",
    ),
    (
        "evict request records early",
        SOURCE + "requests/request_log.py",
        "limit = now - lifetime.EXCHANGE_SECONDS",
        "limit = now - 100",
        LOG + "test_full_log_refuses_and_evicts_nothing",
    ),
    (
        "report not run after sending",
        SOURCE + "requests/request_log.py",
        "if outcome is outcomes.Outcome.NOT_RUN and record.is_sent:",
        "if False:",
        LOG + "test_sent_request_never_ends_as_not_run",
    ),
    (
        "place a known flow again",
        SOURCE + "flows/takeover_core.py",
        "                    self._record_owner(now, held, peer)\n",
        "                    pass\n",
        TAKEOVER + "test_owner_survives_every_change_of_the_table",
    ),
    (
        "treat incomplete claims as complete",
        SOURCE + "flows/takeover_core.py",
        "INCOMPLETE_SECONDS = lifetime.EXCHANGE_SECONDS",
        "INCOMPLETE_SECONDS = 0.0",
        TAKEOVER + "test_claims_are_incomplete_after_loss_of_all_copies",
    ),
    (
        "run requests of a flow placed while claims are incomplete",
        SOURCE + "flows/flow_router.py",
        "if is_incomplete and message.held_ms < lifetime.EXCHANGE_SECONDS * 1000:",
        "if is_incomplete and message.held_ms < 500:",
        TAKEOVER
        + "test_flow_placed_while_claims_are_incomplete_runs_no_earlier_request",
    ),
    (
        "treat claims as complete while a partitioned region serves",
        SOURCE + "flows/takeover_core.py",
        "if has_lost_remote and now < state.incomplete_until:",
        "if False:",
        TAKEOVER + "test_claims_stay_incomplete_while_a_region_is_partitioned",
    ),
    (
        "use a copy from before a loss",
        SOURCE + "flows/takeover_core.py",
        "            self._give_up_roles()\n",
        "            pass\n",
        TAKEOVER + "test_returned_member_has_no_valid_copy",
    ),
    (
        "leave an epoch that began after the return",
        SOURCE + "flows/takeover_core.py",
        "            if state.epoch >= return_revision:\n",
        "            if False:\n",
        TAKEOVER + "test_backup_of_an_epoch_after_its_return_stays_backup",
    ),
    (
        "report not run without the holder",
        SOURCE + "requests/claim_core.py",
        "return any(a.is_holder for acks in self.acks.values() for a in acks.values())",
        "return True",
        CLAIMS + "test_time_out_without_holder_is_not_sole",
    ),
    (
        "trust a grant without a lease",
        SOURCE + "requests/claim_core.py",
        "        if not self.has_lease:\n",
        "        if False:\n",
        CLAIMS + "test_time_out_without_lease_at_the_start_is_not_sole",
    ),
    (
        "refuse as not run without a lease",
        SOURCE + "requests/request_log.py",
        "            outcomes.Outcome.NOT_RUN\n"
        "            if cannot_run_elsewhere\n"
        "            else outcomes.Outcome.UNKNOWN\n",
        "            outcomes.Outcome.NOT_RUN\n",
        LOG + "test_refusal_without_lease_is_unknown",
    ),
    (
        "refuse as not run in spite of a claim",
        SOURCE + "flows/flow_router.py",
        "            return existing.outcome or outcome.Outcome.UNKNOWN\n",
        "            return outcome.Outcome.NOT_RUN\n",
        TAKEOVER + "test_request_with_a_claim_is_not_refused_as_not_run",
    ),
    (
        "accept an offer from any agent",
        SOURCE + "flows/flow_router.py",
        "        if sender != holder:\n",
        "        if False:\n",
        TAKEOVER + "test_offer_of_an_agent_that_is_not_holder_is_not_accepted",
    ),
    (
        "keep roles after a loss that the agent did not receive",
        SOURCE + "flows/takeover_core.py",
        "        if not is_member or has_returned:\n",
        "        if not is_member:\n",
        TAKEOVER + "test_missed_loss_ends_roles_and_a_missed_change_does_not",
    ),
]
