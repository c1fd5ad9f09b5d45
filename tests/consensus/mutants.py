"""Mutants of the source that the tests must detect.

Each entry holds a name, a file, the text to replace, the mutated text, and the id of
a test that then fails.
"""

from __future__ import annotations

CONSENSUS = "src/limpetreel/consensus"
STORAGE = "src/limpetreel/storage"
CORE_TESTS = "tests.consensus.test_raft_core"
CLUSTER_TESTS = "tests.consensus.test_cluster"
STORE_TESTS = "tests.storage.test_log_store"

MUTANTS = [
    (
        "acknowledge before sync",
        f"{STORAGE}/segments.py",
        "        write(name, data)\n        self._disk.sync(name)\n",
        "        write(name, data)\n",
        f"{STORE_TESTS}.test_persisted_state_survives_a_crash",
    ),
    (
        "reply before persist",
        f"{CONSENSUS}/raft_core.py",
        "        return state.actions\n",
        "        return sorted(\n"
        "            state.actions, key=lambda a: not isinstance(a, send.Send)\n"
        "        )\n",
        f"{CORE_TESTS}.test_persist_precedes_the_reply",
    ),
    (
        "vote twice in a term",
        f"{CONSENSUS}/election.py",
        '            and state.vote in ("", request.sender)\n',
        "",
        f"{CORE_TESTS}.test_one_vote_per_term",
    ),
    (
        "commit an entry of an earlier term by counting",
        f"{CONSENSUS}/leadership.py",
        "        if state.log.term_at(quorum_index) == state.term:\n",
        "        if quorum_index:\n",
        f"{CORE_TESTS}.test_entry_of_an_earlier_term_is_not_committed_by_counting",
    ),
    (
        "skip the checksum",
        f"{STORAGE}/record_codec.py",
        "    if _checksum(payload, name, offset) != checksum:\n",
        "    if not checksum:\n",
        f"{STORE_TESTS}.test_damaged_snapshot_and_marker_stop",
    ),
    (
        "count a non-voting member towards the quorum",
        f"{CONSENSUS}/membership.py",
        "    return [m.identity for m in members if m.voting]\n",
        "    return [m.identity for m in members]\n",
        f"{CORE_TESTS}.test_non_voting_member_does_not_count",
    ),
    (
        "continue after a failed sync",
        f"{STORAGE}/log_store.py",
        "        except OSError as exc:\n            self._is_failed = True\n",
        "        except OSError as exc:\n",
        f"{STORE_TESTS}.test_failed_sync_is_final",
    ),
    (
        "lease counted from the reply",
        f"{CONSENSUS}/leadership.py",
        "            self._start_round(now)\n\n    def on_snapshot_reply(\n",
        "            self._start_round(now)\n"
        "        self._rounds.confirmed_start = now\n\n"
        "    def on_snapshot_reply(\n",
        f"{CORE_TESTS}.test_lease_counts_from_the_start_of_the_round",
    ),
    (
        "lease before the first commit of the term",
        f"{CONSENSUS}/leadership.py",
        "        if not self._has_committed_in_term():\n            return 0.0\n",
        "",
        f"{CORE_TESTS}.test_new_leader_has_no_lease_before_its_first_commit",
    ),
    (
        "lease counted from the arrival of the heartbeat",
        f"{CONSENSUS}/follower.py",
        "        end = message.echo.sent_at + message.lease\n",
        "        end = self._state.last_leader_contact + message.lease\n",
        f"{CORE_TESTS}.test_lease_of_a_delayed_heartbeat_counts_from_the_local_stamp",
    ),
    (
        "lease for a lagging follower",
        f"{CONSENSUS}/follower.py",
        "        if message.echo is None or state.commit < message.commit:\n",
        "        if message.echo is None:\n",
        f"{CORE_TESTS}.test_lagging_follower_takes_no_lease",
    ),
    (
        "lost identity replaced without catching up",
        f"{CONSENSUS}/membership_changes.py",
        "not m.voting and m.identity in caught_up]\n",
        "not m.voting]\n",
        f"{CORE_TESTS}.test_lost_identity_is_removed_before_the_new_one_votes",
    ),
    (
        "message for a lost identity processed",
        f"{CONSENSUS}/raft_core.py",
        '        if received.target not in ("", self._state.identity):\n',
        "        if received is None:\n",
        f"{CORE_TESTS}.test_message_for_a_lost_identity_is_dropped",
    ),
    (
        "join requested only once",
        f"{CONSENSUS}/raft_core.py",
        "        if not state.is_voter():\n",
        "        if not state.members:\n",
        f"{CLUSTER_TESTS}.test_instance_whose_addition_was_overwritten_asks_again",
    ),
]
