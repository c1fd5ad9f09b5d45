"""Deliberate faults, each with the test that must find it.

Each entry is (name, file, old text, new text, test id).
"""

from __future__ import annotations

_SOURCE = "src/limpetreel/"
_CATALOG = "tests.catalog.test_catalog."
_SYNC = "tests.catalog.test_table_sync."
_TRACKER = "tests.control.test_member_tracker."
_SERVICE = "tests.control.test_node_service."

MUTANTS = [
    (
        "command ids forgotten after restore",
        _SOURCE + "catalog/catalog.py",
        "self._answers.update((a.command_id, a) for a in content.answers)",
        "pass",
        _CATALOG + "test_resent_command_gets_first_answer_after_restore",
    ),
    (
        "conflict not noticed",
        _SOURCE + "catalog/commands/operator_command.py",
        "if self.expected != (existing.modified if existing is not None else 0):",
        "if False:",
        _CATALOG + "test_racing_commands_first_wins",
    ),
    (
        "id of another command accepted",
        _SOURCE + "catalog/catalog.py",
        "first is not None and first.digest == digest",
        "first is not None",
        _CATALOG + "test_used_id_refuses_another_command",
    ),
    (
        "class without zone not noticed",
        _SOURCE + "catalog/commands/zone_out.py",
        "if left and not self.force:",
        "if False:",
        _CATALOG + "test_zone_out_needs_force_when_a_class_is_left_without_zone",
    ),
    (
        "freed port reused at once",
        _SOURCE + "catalog/port_pool.py",
        "if self.next_unused <= self.last:",
        "if self.next_unused <= self.last and not self._freed:",
        _CATALOG + "test_ports_are_reused_as_late_as_possible",
    ),
    (
        "incarnation check of joins skipped",
        _SOURCE + "catalog/commands/member_joined.py",
        "if self.incarnation <= current_incarnation:",
        "if False:",
        _CATALOG + "test_old_incarnation_changes_nothing",
    ),
    (
        "incarnation check of renewals skipped",
        _SOURCE + "control/member_tracker.py",
        "return renew.incarnation < existing.incarnation",
        "return False",
        _TRACKER + "test_incarnations",
    ),
    (
        "stale table taken for a new one",
        _SOURCE + "catalog/table_sync.py",
        "if head.to_revision >= self._table.revision:",
        "if True:",
        _SYNC + "test_stale_control_does_not_revert_the_table",
    ),
    (
        "stale delta taken for a new one",
        _SOURCE + "catalog/table.py",
        "if revision <= self.revision:",
        "if False:",
        "tests.catalog.test_table.test_lower_revision_is_ignored",
    ),
    (
        "tombstone dropped from the delta",
        _SOURCE + "catalog/delta_source.py",
        "if start == 0:",
        "if True:",
        _SYNC + "test_hundreds_of_changes_arrive_in_one_exchange",
    ),
    (
        "digest of a delta not checked",
        _SOURCE + "catalog/table_sync.py",
        "if self._table.digest_after(records) != head.digest:",
        "if False:",
        _SYNC + "test_delta_without_a_tombstone_is_not_installed",
    ),
    (
        "floor ignored",
        _SOURCE + "catalog/delta_source.py",
        "return revision if revision >= self._table.floor else 0",
        "return revision",
        _SYNC + "test_floor_forces_a_whole_table",
    ),
    (
        "parts of different deltas mixed",
        _SOURCE + "catalog/fetch.py",
        "if _key(part) != _key(self.head) or part.part in self.received:",
        "if part.part in self.received:",
        _SYNC + "test_parts_of_different_deltas_are_not_mixed",
    ),
    (
        "lease counted at a lower revision",
        _SOURCE + "catalog/table_sync.py",
        "if is_equal or message.revision < self._table.revision:",
        "if True:",
        _SYNC + "test_lease_counts_once_the_table_has_its_revision",
    ),
    (
        "lease adopted at a lower revision",
        _SOURCE + "catalog/table_sync.py",
        "        if revision <= self._table.revision:\n            self._right",
        "        if True:\n            self._right",
        _SYNC + "test_adopted_lease_needs_the_revision_of_the_sender",
    ),
    (
        "evidence counted before the delta",
        _SOURCE + "catalog/table_sync.py",
        "if message.revision <= self._table.revision:\n            self._right.record",
        "if True:\n            self._right.record",
        _SYNC + "test_probe_answer_counts_after_the_delta",
    ),
    (
        "hysteresis skipped",
        _SOURCE + "control/share_controller.py",
        "if now - reports.differs_since < MIN_DIFFERENCE_SECONDS:",
        "if False:",
        _TRACKER + "test_share_follows_a_lasting_difference_only",
    ),
    (
        "several shares of a class at once",
        _SOURCE + "control/share_controller.py",
        "if now - last < CLASS_INTERVAL_SECONDS:",
        "if False:",
        _TRACKER + "test_one_share_per_class_every_5_s",
    ),
    (
        "pause of the leader counted as silence",
        _SOURCE + "control/member_tracker.py",
        "min(max(now - self._called_at, 0.0), MAX_STEP_SECONDS)",
        "now - self._called_at",
        _TRACKER + "test_pause_of_the_leader_is_no_silence",
    ),
    (
        "mass silence not noticed",
        _SOURCE + "control/member_tracker.py",
        "return 2 * overdue.total() > total.total()",
        "return False",
        _TRACKER + "test_silence_of_most_zones_at_once_waits",
    ),
    (
        "joins not limited",
        _SOURCE + "control/member_tracker.py",
        "return len(recent) < JOINS_PER_MINUTE",
        "return True",
        _TRACKER + "test_crash_loop_cannot_churn_the_table",
    ),
    (
        "shared limit skipped",
        _SOURCE + "control/node_service.py",
        "buckets = (self._shared, *budget)",
        "buckets = budget",
        _SERVICE + "test_storm_of_all_nodes_is_bounded",
    ),
    (
        "overtaken delta not kept",
        _SOURCE + "catalog/delta_source.py",
        "cached = self._cache.get((start, request.to_revision, request.scope))",
        "cached = None",
        _SERVICE + "test_lost_parts_of_an_overtaken_delta_are_sent_again",
    ),
]
