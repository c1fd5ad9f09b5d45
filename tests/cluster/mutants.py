"""Deliberate faults and the test that must find each of them.

Each entry is (name, file, old text, new text, test id). The old text occurs exactly
once in the file.
"""

from __future__ import annotations

_CLUSTER = "src/limpetreel/cluster/"
_CONSENSUS = "src/limpetreel/consensus/"
_STORAGE = "src/limpetreel/storage/"
_ABSENT = "tests.cluster.test_absent_values."
_GROUP = "tests.cluster.test_control_group."
_SHELL = "tests.cluster.test_cluster_shell."
_LINKS = "tests.cluster.test_control_links."
_LIST = "tests.cluster.test_list_return."
_RETURN = "tests.cluster.test_control_return."
_STORE = "tests.storage.test_log_store."

MUTANTS = [
    (
        "agents that have ended stay registered",
        _CLUSTER + "agent_registry.py",
        "        removed = set(self._ended)\n",
        "        removed: set[str] = set()\n",
        _LIST + "test_agents_that_ended_shortly_before_a_common_restart_"
        "are_not_waited_for",
    ),
    (
        "late report of an ended agent registers it again",
        _CLUSTER + "agent_registry.py",
        "        if self._directory.is_outdated(new_report):\n",
        "        if not new_report:\n",
        _LIST + "test_late_report_of_an_ended_agent_does_not_register_it_again",
    ),
    (
        "new agents are published before they are registered",
        _CLUSTER + "agent_registry.py",
        "        self._held[name] = new_report\n        return False\n",
        "        self._held[name] = new_report\n        return True\n",
        _LIST + "test_agent_is_not_published_before_it_is_registered",
    ),
    (
        "a new agent is published as soon as a lease is lost",
        _CLUSTER + "agent_registry.py",
        "        return since is not None and now - since >= UNCONFIRMED_SECONDS\n",
        "        return since is not None\n",
        _LIST + "test_new_agent_is_published_when_no_quorum_is_left",
    ),
    (
        "list is complete while an agent is missing",
        _CLUSTER + "agent_registry.py",
        "        return not self._missing\n",
        "        return True\n",
        _LIST + "test_list_waits_for_an_agent_that_returns_late",
    ),
    (
        "list is never complete",
        _CLUSTER + "list_clock.py",
        "        self._is_complete = has_lease and message.is_complete is True\n",
        "        self._is_complete = False\n",
        _LIST + "test_list_is_complete_soon_after_a_common_restart",
    ),
    (
        "agents that never return stay registered",
        _CLUSTER + "agent_registry.py",
        "            if led_seconds >= upstream_directory.REMOVAL_SECONDS:\n",
        "            if led_seconds < 0:\n",
        _LIST + "test_wait_for_an_agent_that_never_returns_ends",
    ),
    (
        "lower version replaces the state",
        _CLUSTER + "cluster_state.py",
        "    return known is None or version > known\n",
        "    return True\n",
        _GROUP + "test_lower_version_is_acknowledged_and_changes_nothing",
    ),
    (
        "version 0 counts as none",
        _CLUSTER + "cluster_state.py",
        "    return known is None or version > known\n",
        "    return version > (known or 0)\n",
        _ABSENT + "test_first_document_of_version_0_is_stored_and_in_force",
    ),
    (
        "document of version 0 is not in snapshots",
        _CLUSTER + "cluster_state.py",
        "        if self.version is None or self._compressed is None:\n",
        "        if not self.version or self._compressed is None:\n",
        _ABSENT + "test_document_of_version_0_survives_a_restart_from_the_log_and_a_"
        "snapshot",
    ),
    (
        "nodes do not get version 0",
        _CLUSTER + "node_session.py",
        "        is_newer = state.version is not None and (\n",
        "        is_newer = bool(state.version) and (\n",
        _ABSENT + "test_node_gets_version_0_once",
    ),
    (
        "change of agents is read as a document",
        _CLUSTER + "command_codec.py",
        "    if not stored.document:\n",
        "    if stored.agents_added:\n",
        _ABSENT + "test_entry_of_an_earlier_release_with_version_0_is_a_document",
    ),
    (
        "every instance gets a vote",
        _CONSENSUS + "open_membership.py",
        "        if ready and len(voting) < self._voters:\n",
        "        if ready:\n",
        _GROUP + "test_instance_that_is_no_seed_joins_without_a_vote",
    ),
    (
        "lost voters are kept",
        _CONSENSUS + "open_membership.py",
        "        if not lost:\n            return None\n",
        "        return None\n",
        _GROUP + "test_lost_voter_is_replaced_at_another_address",
    ),
    (
        "pending calls are dropped at a stop",
        _CLUSTER + "cluster_shell.py",
        '            self._fail_pending_calls("instance stops")\n',
        "",
        _SHELL + "test_waiting_call_is_answered_before_a_planned_stop",
    ),
    (
        "full disk ends the instance",
        _CLUSTER + "cluster_shell.py",
        "        if self._failure is not None and not isinstance(\n"
        "            self._failure, exceptions.DiskFullError\n"
        "        ):\n",
        "        if self._failure is not None:\n",
        _SHELL + "test_instance_goes_on_once_the_disk_has_space_again",
    ),
    (
        "full disk at the start ends the instance",
        _CLUSTER + "cluster_shell.py",
        "            self._failure = exc\n            return\n",
        "            raise\n",
        _SHELL + "test_instance_starts_once_the_disk_has_space",
    ),
    (
        "instance continues after a failed sync",
        _CLUSTER + "cluster_shell.py",
        "            raise self._failure\n",
        "            self._failure = None\n",
        _SHELL + "test_failed_sync_ends_the_instance",
    ),
    (
        "segments accumulate on a full disk",
        _STORAGE + "segments.py",
        "        self._write(header, self._disk.append_whole)\n",
        "        self._write(header, self._disk.append)\n",
        _STORE + "test_log_is_complete_after_the_disk_was_full",
    ),
    (
        "lack of space is reported as another failure",
        _STORAGE + "folder_disk.py",
        "            if exc.errno in _NO_SPACE:\n",
        "            if False:\n",
        _STORE + "test_lack_of_space_is_reported_as_its_own_error",
    ),
    (
        "voters without a disk replace those with one",
        _CONSENSUS + "open_membership.py",
        "        needs_disk = any(m.is_durable for m in members)\n",
        "        needs_disk = False\n",
        "tests.consensus.test_open_membership."
        "test_instance_without_a_disk_does_not_replace_a_lost_voter",
    ),
    (
        "first pre-votes wait for a time limit",
        _CONSENSUS + "raft_core.py",
        "            self._state.election_deadline = now\n",
        "            self._state.reset_election_timer(now)\n",
        _RETURN + "test_document_is_back_soon_after_a_majority",
    ),
    (
        "candidates that return together split the votes",
        _CONSENSUS + "election.py",
        "            and not self._precedes(request, message)\n",
        "",
        _RETURN + "test_document_is_back_soon_after_a_majority",
    ),
    (
        "commits are announced with the next heartbeat",
        _CONSENSUS + "leadership.py",
        "        if self._state.commit > commit:\n",
        "        if False:\n",
        _RETURN + "test_followers_apply_a_change_with_its_commit",
    ),
    (
        "instances that only listen are not answered",
        _CLUSTER + "control_links.py",
        "            self.send(address, self._alive)\n",
        "            pass\n",
        _LINKS + "test_link_to_an_instance_that_has_nothing_to_send_stays_up",
    ),
    (
        "accepted connections are not used for answers",
        _CLUSTER + "control_links.py",
        "        if accepted is not None and accepted.is_open:\n",
        "        if False:\n",
        _LINKS + "test_peer_that_has_dialled_is_answered_while_the_own_dial_is_pending",
    ),
    (
        "late report of an ended start hides the next one",
        _CLUSTER + "upstream_directory.py",
        "            return new_report.record.has_ended\n",
        "            return False\n",
        "tests.cluster.test_upstream_directory."
        "test_late_report_of_an_ended_start_does_not_hide_the_next_one",
    ),
    (
        "state of the last snapshot is given to nodes at once",
        _CLUSTER + "published_state.py",
        "        self._is_confirmed = False\n",
        "        self._is_confirmed = True\n",
        "tests.cluster.test_restart_state."
        "test_restart_of_all_control_instances_brings_no_older_state_into_force",
    ),
    (
        "log in memory is kept after an unexpected error",
        _CLUSTER + "cluster_shell.py",
        "            if not isinstance(event, _SOFT_EVENTS):\n",
        "            if False:\n",
        _SHELL + "test_unexpected_error_at_a_tick_or_call_recovers_from_the_files",
    ),
    (
        "error of a node makes control start anew",
        _CLUSTER + "cluster_shell.py",
        "            if not isinstance(event, _SOFT_EVENTS):\n",
        "            if True:\n",
        _SHELL + "test_unexpected_error_of_a_node_drops_only_its_event",
    ),
    (
        "document that a member would drop is accepted",
        "src/limpetreel/cluster/member_formats.py",
        "        return any(x < log_format for x in known)\n",
        "        return False\n",
        "tests.cluster.test_member_formats."
        "test_document_that_a_member_would_drop_is_refused_until_its_upgrade",
    ),
    (
        "all entries wait for the upgrade",
        "src/limpetreel/cluster/command_codec.py",
        "        return 1 if command.version == 0 else 0\n",
        "        return 1\n",
        "tests.cluster.test_member_formats.test_what_earlier_members_hold_is_accepted",
    ),
    (
        "leader does not wait for members it has not heard",
        "src/limpetreel/cluster/cluster_core.py",
        "        if needed and self._formats.are_unheard(now, self._raft.members):\n",
        "        if False:\n",
        "tests.cluster.test_member_formats."
        "test_new_leader_waits_for_members_it_has_not_heard",
    ),
    (
        "leader waits for members that are down",
        "src/limpetreel/cluster/member_formats.py",
        "        if self._leads_since is None or now >= "
        "self._leads_since + UNHEARD_SECONDS:\n",
        "        if self._leads_since is None:\n",
        "tests.cluster.test_member_formats."
        "test_member_that_is_down_does_not_hold_up_a_first_document",
    ),
    (
        "members do not say what they hold",
        "src/limpetreel/cluster/cluster_core.py",
        "            command_codec.LOG_FORMAT,\n        )\n        message",
        "        )\n        message",
        "tests.cluster.test_member_formats."
        "test_format_does_not_change_what_earlier_releases_read",
    ),
]
