"""Deliberate faults that the tests must find.

Each entry holds a name, a file, the text to replace, the replacement, and the id of
a test that then fails.
"""

from __future__ import annotations

CATALOG = "src/limpetreel/catalog"
CONSENSUS = "src/limpetreel/consensus"
CONTROL = "src/limpetreel/control"
CORE_TESTS = "tests.control.test_control_core"
PROCESS_TESTS = "tests.control.test_control_processes"

MUTANTS = [
    (
        "catalog not restored",
        f"{CONTROL}/control_core.py",
        "        if raft.snapshot.data:\n",
        "        if raft.snapshot is None:\n",
        f"{CORE_TESTS}.test_catalog_is_restored_from_the_recovered_snapshot",
    ),
    (
        "command applied again after a restart",
        f"{CATALOG}/catalog.py",
        "        self._answers.update((a.command_id, a) for a in content.answers)\n",
        "",
        f"{CORE_TESTS}.test_catalog_is_restored_from_the_recovered_snapshot",
    ),
    (
        "resent command applied again",
        f"{CATALOG}/catalog.py",
        "            return first.answer\n",
        "            return self._change(index, command)\n",
        f"{CORE_TESTS}.test_catalog_is_restored_from_the_recovered_snapshot",
    ),
    (
        "command ids dropped at a snapshot",
        f"{CATALOG}/catalog.py",
        "            answers=tuple(self._answers.values()),\n",
        "            answers=(),\n",
        f"{CORE_TESTS}.test_catalog_is_restored_from_the_recovered_snapshot",
    ),
    (
        "answer before commit",
        f"{CONSENSUS}/leadership.py",
        "quorum_index = membership.quorum_value(state.members, match_indexes)\n",
        "quorum_index = state.log.last_index\n",
        f"{CORE_TESTS}.test_cut_off_leader_grants_no_lease_and_accepts_nothing",
    ),
    (
        "read answered as current by a follower",
        f"{CONSENSUS}/raft_core.py",
        "read_result.ReadResult(event.read_id, self._state.commit, False)",
        "read_result.ReadResult(event.read_id, self._state.commit, True)",
        f"{CORE_TESTS}.test_cut_off_leader_grants_no_lease_and_accepts_nothing",
    ),
    (
        "lease without quorum",
        f"{CONSENSUS}/quorum_rounds.py",
        "        quorum_round = membership.quorum_value(members, self._last_replied)\n",
        "        quorum_round = self.current\n",
        f"{CORE_TESTS}.test_cut_off_leader_grants_no_lease_and_accepts_nothing",
    ),
    (
        "stale table accepted for a new one",
        f"{CATALOG}/table_sync.py",
        "        if head.to_revision >= self._table.revision:\n",
        "        if head.to_revision >= 0:\n",
        "tests.catalog.test_table_sync.test_stale_control_does_not_revert_the_table",
    ),
    (
        "second data folder of a first member accepted",
        f"{CONTROL}/founding.py",
        "            accepted.get(message.name, message.folder) == message.folder\n",
        "            accepted.get(message.name, message.folder) > 0\n",
        f"{CORE_TESTS}.test_lost_identity_does_not_come_back",
    ),
    (
        "accepted data folders not durable",
        f"{CONTROL}/founding.py",
        "        return [save_founding.SaveFounding(self._record)]\n",
        "        return []\n",
        f"{CORE_TESTS}.test_lost_identity_does_not_come_back",
    ),
    (
        "first member takes part before it is accepted",
        f"{CONTROL}/control_core.py",
        "        if self.is_founding:\n            return []\n",
        "",
        f"{CORE_TESTS}.test_lost_identity_takes_no_part_while_nobody_refuses_it",
    ),
    (
        "no successor asked in a planned stop",
        f"{CONSENSUS}/raft_core.py",
        "        if peer is not None:\n",
        "        if peer is None:\n",
        f"{CORE_TESTS}"
        ".test_planned_stop_hands_leadership_over_without_losing_a_command",
    ),
    (
        "requests unbounded",
        f"{CONTROL}/control_core.py",
        "        if len(self._calls) + len(self._reads) >= MAX_CALLS:\n",
        "        if len(self._calls) < 0:\n",
        f"{CORE_TESTS}.test_requests_are_bounded_in_number_and_size",
    ),
    (
        "confirmations of a frozen leader",
        f"{CONTROL}/control_core.py",
        "if self._tracker is None or not self._raft.lease_remaining(now):\n",
        "if self._tracker is None:\n",
        f"{CORE_TESTS}.test_frozen_leader_does_not_answer_as_current",
    ),
    (
        "unresponsive peer kept while another sends",
        f"{CONTROL}/peer_links.py",
        'self._received_at.get(address, float("-inf"))',
        "max(self._received_at.values(), default=0.0)",
        "tests.control.test_peer_links"
        ".test_unresponsive_connection_is_replaced_while_others_send",
    ),
    (
        "process stays after a fatal error",
        f"{CONTROL}/control_shell.py",
        "            task.cancel()\n",
        "            pass\n",
        f"{PROCESS_TESTS}.test_lost_folder_rejoins_and_a_second_loss_follows",
    ),
]
