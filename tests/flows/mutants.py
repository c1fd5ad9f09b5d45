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
        "        if not (is_holder or is_deputy):\n",
        "        if False:\n",
        TAKEOVER + "test_fenced_agents_do_not_acknowledge",
    ),
    (
        "become ready without all replies",
        SOURCE + "flows/takeover_core.py",
        "        if self._missing(state):\n            return\n",
        "        if self._missing(state) and not state.joins:\n            return\n",
        TAKEOVER + "test_holder_waits_for_every_member",
    ),
    (
        "drop a previous holder's copy too soon",
        SOURCE + "flows/takeover_core.py",
        "KEEP_SECONDS = lifetime.EXCHANGE_SECONDS",
        "KEEP_SECONDS = 1.0",
        TAKEOVER + "test_second_takeover_right_after_the_first_loses_nothing",
    ),
    (
        "run without the acknowledgement",
        SOURCE + "requests/claim_core.py",
        "return deputy is not None and not deputy.is_holder",
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
        "forget the claim at takeover",
        SOURCE + "flows/takeover_core.py",
        "                self._claims.merge(now, bucket, part.claims)\n",
        "",
        TAKEOVER + "test_claims_reach_a_holder_that_was_not_deputy",
    ),
    (
        "evict request records early",
        SOURCE + "requests/request_log.py",
        "limit = now - lifetime.EXCHANGE_SECONDS",
        "limit = now - 100",
        LOG + "test_full_log_refuses_and_evicts_nothing",
    ),
    (
        "say not run after sending",
        SOURCE + "requests/request_log.py",
        "if outcome is outcomes.Outcome.NOT_RUN and record.is_sent:",
        "if False:",
        LOG + "test_sent_request_never_ends_as_not_run",
    ),
    (
        "place a known flow again",
        SOURCE + "flows/takeover_core.py",
        "                    self._learn(now, held, peer)\n",
        "                    pass\n",
        TAKEOVER + "test_owner_survives_every_change_of_the_table",
    ),
    (
        "skip the in-doubt window",
        SOURCE + "flows/takeover_core.py",
        "DOUBT_SECONDS = lifetime.EXCHANGE_SECONDS",
        "DOUBT_SECONDS = 0.0",
        TAKEOVER + "test_bucket_is_in_doubt_after_loss_of_all_copies",
    ),
    (
        "let a flow placed in doubt run",
        SOURCE + "flows/flow_router.py",
        "if in_doubt and message.held_ms < lifetime.EXCHANGE_SECONDS * 1000:",
        "if in_doubt and message.held_ms < 500:",
        TAKEOVER + "test_flow_placed_in_doubt_stays_in_doubt",
    ),
    (
        "end the doubt while a cut-off region serves",
        SOURCE + "flows/takeover_core.py",
        "if remote_lost and now < state.doubt_until:",
        "if False:",
        TAKEOVER + "test_cut_off_region_keeps_the_bucket_in_doubt",
    ),
    (
        "vouch for a copy after a loss",
        SOURCE + "flows/takeover_core.py",
        "            self._leave_all()\n",
        "            pass\n",
        TAKEOVER + "test_returned_member_does_not_vouch_for_its_copy",
    ),
    (
        "leave an epoch that began after the return",
        SOURCE + "flows/takeover_core.py",
        "            if state.epoch >= since:\n",
        "            if False:\n",
        TAKEOVER + "test_deputy_of_an_epoch_after_its_return_stays_deputy",
    ),
    (
        "say not run without the holder",
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
        "outcomes.Outcome.NOT_RUN if certain else outcomes.Outcome.UNKNOWN",
        "outcomes.Outcome.NOT_RUN",
        LOG + "test_refusal_without_lease_states_nothing",
    ),
    (
        "refuse as not run in spite of a claim",
        SOURCE + "flows/flow_router.py",
        "            return found.outcome or outcome.Outcome.UNKNOWN\n",
        "            return outcome.Outcome.NOT_RUN\n",
        TAKEOVER + "test_early_refusal_is_not_certain_while_a_claim_is_known",
    ),
    (
        "take an offer from anybody",
        SOURCE + "flows/flow_router.py",
        "        if sender != holder:\n",
        "        if False:\n",
        TAKEOVER + "test_offer_of_an_agent_that_is_not_holder_is_not_taken",
    ),
    (
        "keep roles after a loss that was not seen",
        SOURCE + "flows/takeover_core.py",
        "        if not is_member or has_returned:\n",
        "        if not is_member:\n",
        TAKEOVER + "test_unseen_loss_ends_roles_and_an_unseen_change_does_not",
    ),
]
