"""Deliberate faults, each with the test that must find it.

Each entry is (name, file, old text, new text, test id).
"""

from __future__ import annotations

_ENTRY = "src/limpetreel/entry/"
_CORE = "tests.entry.test_entry_core."

MUTANTS = [
    (
        "entry forwards without a lease",
        _ENTRY + "entry_core.py",
        "        if not self.link.right.may_forward(now, self.link.table):\n",
        "        if False:\n",
        _CORE + "test_entry_without_lease_sends_nothing",
    ),
    (
        "entry of a removed zone drops packets",
        _ENTRY + "entry_core.py",
        "        if not self.link.right.may_forward(now, self.link.table):\n"
        "            return self._drop(reason.Reason.NO_LEASE)\n",
        "        if not self.link.right.may_serve(now, self.link.table):\n"
        "            return self._drop(reason.Reason.NO_LEASE)\n",
        _CORE + "test_entry_of_removed_zone_forwards_packets",
    ),
    (
        "another bucket than the agents'",
        _ENTRY + "entry_core.py",
        "        bucket = flow_hash % class_assignment.BUCKETS_PER_CLASS\n",
        "        bucket = (flow_hash >> 1) % class_assignment.BUCKETS_PER_CLASS\n",
        _CORE + "test_entries_and_agents_compute_the_same_bucket",
    ),
    (
        "answer of an unknown class forwarded",
        _ENTRY + "entry_core.py",
        "        if received.class_id not in self._open_ports:\n",
        "        if False:\n",
        _CORE + "test_answer_of_an_unknown_class_is_dropped",
    ),
    (
        "owner not learned",
        _ENTRY + "owner_hints.py",
        "        self._hints[flow] = owner\n",
        "        return\n",
        _CORE + "test_packets_are_sent_to_the_agent_that_answered",
    ),
    (
        "hint kept after the primary answered",
        _ENTRY + "owner_hints.py",
        "            if self._hints.pop(flow, None) is not None:\n",
        "            if self._hints.get(flow) is not None:\n",
        _CORE + "test_packets_are_sent_to_the_agent_that_answered",
    ),
    (
        "hint to an agent of a removed zone",
        _ENTRY + "owner_hints.py",
        "            and self._table.is_zone_serving(m.zone)\n",
        "",
        _CORE + "test_hint_to_an_agent_that_left_is_removed",
    ),
]
