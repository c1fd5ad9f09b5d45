"""Rules of the Raft core, tested on one core with hand-made messages."""

from __future__ import annotations

import random
from unittest import mock

from limpetreel.consensus import (
    durable_state,
    entry,
    entry_kind,
    member,
    membership_changes,
    raft_core,
    role,
    snapshot,
    timing,
)
from limpetreel.consensus.actions import persist, proposal_result, read_result, send
from limpetreel.consensus.events import (
    change,
    change_membership,
    message_received,
    proposal,
    propose,
    read,
    snapshot_available,
    tick,
)
from limpetreel.consensus.messages import (
    append_reply,
    append_request,
    envelope,
    envelope_codec,
    join_request,
    pre_vote_reply,
    pre_vote_request,
    vote_reply,
    vote_request,
)
from limpetreel.core import reason
from tests import fixtures

VOTERS = tuple(member.Member(n, 1, n) for n in ("a", "b", "c"))
NON_VOTER = member.Member("d", 1, "d", voting=False)
STAMP = append_reply.stamp.Stamp(1, 0.0)


def _data_entry(index, term, data=b"x"):
    return entry.Entry(index, term, entry_kind.EntryKind.DATA, data)


def _core(members=VOTERS, term=0, vote="", entries=(), incarnation=1):
    base = snapshot.Snapshot(0, 0, members)
    state = durable_state.DurableState("a", incarnation, term, vote, base, entries)
    return raft_core.RaftCore(state, random.Random(1), "a", ("b",))


def _receive(core, now, sender, message, target="a#1"):
    received = envelope.Envelope(sender, sender[0], target, message)
    return core.handle(now, message_received.MessageReceived(received))


def _sent_messages(actions, kind):
    messages = [a.message for a in actions if isinstance(a, send.Send)]
    return [m for m in messages if isinstance(m, kind)]


def _actions_of(actions, kind):
    return [a for a in actions if isinstance(a, kind)]


def _elect(core, now=1.0):
    """Make the core the leader at the given time."""
    core.handle(now - 1, tick.Tick())
    request = _sent_messages(
        core.handle(now, tick.Tick()), pre_vote_request.PreVoteRequest
    )[0]
    reply = pre_vote_reply.PreVoteReply(request.term - 1, request.term, True)
    _receive(core, now, "b#1", reply)
    _receive(core, now, "b#1", vote_reply.VoteReply(request.term, True))
    assert core.role is role.Role.LEADER
    return core


def _acknowledge(core, now, sender, index, round_number=1):
    """Deliver a peer's acknowledgement of the log up to an index."""
    reply = append_reply.AppendReply(core.term, True, index, 0, 0, round_number, STAMP)
    return _receive(core, now, sender, reply)


def _heartbeat(term=1, prev=0, entries=(), commit=0, echo=None, lease=0.0):
    return append_request.AppendRequest(term, prev, 0, entries, commit, 1, echo, lease)


def test_one_vote_per_term():
    """Guards against two leaders in one term, also after a restart of a voter."""
    core = _core()
    request = vote_request.VoteRequest(5, 0, 0)
    first = _receive(core, 0.0, "b#1", request)
    assert _sent_messages(first, vote_reply.VoteReply)[0].granted
    again = _receive(core, 0.0, "b#1", request)
    assert _sent_messages(again, vote_reply.VoteReply)[0].granted
    for voted in (core, _core(term=5, vote="b#1")):
        second = _receive(voted, 0.0, "c#1", request)
        assert not _sent_messages(second, vote_reply.VoteReply)[0].granted


def test_vote_needs_an_up_to_date_log():
    """Guards against the election of a leader that lacks committed entries."""
    core = _core(term=2, entries=(_data_entry(1, 1), _data_entry(2, 2)))
    for index, term, expected in ((9, 1, False), (1, 2, False), (2, 2, True)):
        request = vote_request.VoteRequest(core.term + 1, index, term)
        actions = _receive(core, 0.0, "b#1", request)
        assert _sent_messages(actions, vote_reply.VoteReply)[0].granted is expected


def test_persist_precedes_the_reply():
    """Guards against a vote or an acknowledgement that is sent before it is durable."""
    for message in (
        vote_request.VoteRequest(1, 0, 0),
        _heartbeat(1, 0, (_data_entry(1, 1),)),
    ):
        kinds = [type(a) for a in _receive(_core(), 0.0, "b#1", message)]
        last_persist = len(kinds) - 1 - kinds[::-1].index(persist.Persist)
        assert last_persist < kinds.index(send.Send)


def test_pre_vote_is_rejected_during_contact_with_a_leader():
    """Guards against an instance that deposes the leader after a partition."""
    core = _core()
    _receive(core, 0.0, "b#1", _heartbeat())
    for now, expected in ((0.2, False), (0.4, True)):
        request = pre_vote_request.PreVoteRequest(9, 0, 0)
        actions = _receive(core, now, "c#1", request)
        assert (
            _sent_messages(actions, pre_vote_reply.PreVoteReply)[0].granted is expected
        )
    assert core.term == 1


def test_entry_of_an_earlier_term_is_not_committed_by_counting():
    """Guards against a committed entry that a later leader overwrites."""
    core = _elect(_core(term=2, entries=(_data_entry(1, 1),)))
    assert core.term == 3
    _acknowledge(core, 1.0, "b#1", 1)
    assert core.commit == 0
    _acknowledge(core, 1.0, "b#1", 2)
    assert core.commit == 2


def test_non_voting_member_does_not_count():
    """Guards against a quorum that counts an instance without the log."""
    core = _elect(_core((*VOTERS, NON_VOTER)))
    _acknowledge(core, 1.0, "d#1", 1)
    assert (core.commit, core.lease_remaining(1.0)) == (0, 0.0)
    _acknowledge(core, 1.0, "b#1", 1)
    assert core.commit == 1
    assert core.lease_remaining(1.0) == 2.0


def test_lease_counts_from_the_start_of_the_round():
    """Guards against a lease that a slow reply extends."""
    core = _elect(_core())
    _acknowledge(core, 1.5, "b#1", 1)
    assert core.lease_remaining(1.5) == 1.5
    assert core.lease_remaining(3.5) == 0.0


def test_new_leader_has_no_lease_before_its_first_commit():
    """Guards against a lease of a leader that has not applied earlier commits."""
    core = _elect(_core(term=1, entries=(_data_entry(1, 1),)))
    _acknowledge(core, 1.0, "b#1", 1)
    assert core.lease_remaining(1.0) == 0.0


def test_lease_of_a_delayed_heartbeat_counts_from_the_local_stamp():
    """Guards against a lease that a network delay extends.

    A lease also must not count from a stamp of an earlier start of the instance.
    """
    core = _core()
    reply = _sent_messages(
        _receive(core, 10.0, "b#1", _heartbeat()), append_reply.AppendReply
    )
    late = _heartbeat(echo=reply[0].stamp, lease=1.9)
    _receive(core, 11.5, "b#1", late)
    assert abs(core.lease_remaining(11.5) - 0.4) < 1e-9
    foreign = append_reply.stamp.Stamp(reply[0].stamp.session + 1, 11.5)
    _receive(core, 11.5, "b#1", _heartbeat(echo=foreign, lease=1.9))
    assert core.lease_remaining(12.0) == 0.0


def test_lagging_follower_takes_no_lease():
    """Guards against a lease granted on a state that lacks committed entries."""
    core = _core()
    actions = _receive(core, 10.0, "b#1", _heartbeat())
    echo = _sent_messages(actions, append_reply.AppendReply)[0].stamp
    _receive(core, 10.0, "b#1", _heartbeat(commit=1, echo=echo, lease=2.0))
    assert core.lease_remaining(10.0) == 0.0
    full = _heartbeat(entries=(_data_entry(1, 1),), commit=1, echo=echo, lease=2.0)
    _receive(core, 10.0, "b#1", full)
    assert core.lease_remaining(10.0) == 2.0


def test_leader_without_quorum_steps_down():
    """Guards against proposals and reads that never end at a partitioned leader."""
    core = _elect(_core())
    core.handle(1.0, propose.Propose((proposal.Proposal(7, b"x"),)))
    core.handle(1.0, read.Read(8))
    core.handle(2.9, tick.Tick())
    assert core.role is role.Role.LEADER
    actions = core.handle(3.1, tick.Tick())
    assert core.role is role.Role.FOLLOWER
    result = _actions_of(actions, proposal_result.ProposalResult)[0]
    assert (result.proposal_id, result.result.reason) == (7, reason.Reason.TIMEOUT)
    assert _actions_of(actions, read_result.ReadResult) == [
        read_result.ReadResult(8, 0, False)
    ]
    refused = core.handle(3.1, propose.Propose((proposal.Proposal(9, b"x"),)))
    assert refused[0].result.reason is reason.Reason.NOT_LEADER


def test_read_waits_for_a_later_round():
    """Guards against a read that a deposed leader answers as current."""
    core = _elect(_core())
    _acknowledge(core, 1.0, "b#1", 1)
    core.handle(1.05, read.Read(8))
    assert not _actions_of(_acknowledge(core, 1.05, "b#1", 1), read_result.ReadResult)
    core.handle(1.06, tick.Tick())
    # The commit of entry 1 has started round 2, before the read.
    earlier = _acknowledge(core, 1.06, "c#1", 1, round_number=2)
    assert not _actions_of(earlier, read_result.ReadResult)
    actions = _acknowledge(core, 1.07, "c#1", 1, round_number=3)
    assert _actions_of(actions, read_result.ReadResult) == [
        read_result.ReadResult(8, 1, True)
    ]


def test_message_for_a_lost_identity_is_dropped():
    """Guards against votes and acknowledgements for the log of a lost disk."""
    core = _core((), incarnation=2)
    for message in (vote_request.VoteRequest(1, 0, 0), _heartbeat()):
        assert _receive(core, 0.0, "b#1", message) == []
    assert core.term == 0


def test_non_voting_instance_starts_no_election():
    """Guards against an empty instance that elects itself instead of asking to join."""
    core = _core((), incarnation=2)
    actions = [a for i in range(100) for a in core.handle(i / 50, tick.Tick())]
    assert len(_sent_messages(actions, join_request.JoinRequest)) == len(actions) == 4


def test_one_membership_change_at_a_time():
    """Guards against majorities that do not overlap after concurrent changes."""
    core = _elect(_core())
    add = change_membership.ChangeMembership(1, change.Change.ADD, NON_VOTER)
    early = core.handle(1.0, add)
    assert early[0].result.reason is reason.Reason.CONFLICT
    _acknowledge(core, 1.0, "b#1", 1)
    core.handle(1.0, add)
    second = change_membership.ChangeMembership(2, change.Change.REMOVE, VOTERS[2])
    assert core.handle(1.0, second)[0].result.reason is reason.Reason.CONFLICT
    _acknowledge(core, 1.0, "b#1", 2)
    assert not _actions_of(core.handle(1.0, second), proposal_result.ProposalResult)


def test_lost_identity_is_removed_before_the_new_one_votes():
    """Guards against a new voter without the committed entries.

    The lost identity has to leave before the new one gets a vote, and only once the
    new one has caught up.
    """
    new = member.Member("c", 2, "c", voting=False)
    members = (*VOTERS, new)
    assert membership_changes.next_replacement(members, {"b#1"}) is None
    removed = membership_changes.next_replacement(members, {"c#2"})
    assert removed == (*VOTERS[:2], new)
    promoted = membership_changes.next_replacement(removed, {"c#2"})
    assert promoted == (*VOTERS[:2], member.Member("c", 2, "c"))
    assert membership_changes.next_replacement(promoted, {"c#2"}) is None


def test_unknown_name_is_not_added_on_its_own_request():
    """Guards against members that no operator has added."""
    core = _elect(_core())
    _acknowledge(core, 1.0, "b#1", 1)
    for name, incarnation in (("z", 9), ("c", 1)):
        request = join_request.JoinRequest(name, incarnation, name)
        assert _receive(core, 1.0, f"{name}#9", request, "") == []
    assert core.members == VOTERS


def test_rejections_skip_a_whole_term():
    """Guards against one round trip for each entry that conflicts."""
    old = tuple(_data_entry(i, 1) for i in range(1, 301))
    core = _elect(
        _core(term=2, entries=(*old, *(_data_entry(i, 2) for i in range(301, 401))))
    )
    reply = append_reply.AppendReply(3, False, 400, 201, 1, 1, STAMP)
    sent = _sent_messages(
        _receive(core, 1.0, "b#1", reply), append_request.AppendRequest
    )
    assert sent[0].prev_index == 300
    assert len(sent[0].entries) == 101


def test_malformed_envelope_is_a_failure():
    """Guards against an exception that ends the receiving task."""
    message = envelope.Envelope(
        "b#1", "b", "a#1", _heartbeat(entries=(_data_entry(1, 1),))
    )
    data = envelope_codec.encode(message)
    assert envelope_codec.decode(data) == message
    assert envelope_codec.decode(data[:-1]).reason is reason.Reason.MALFORMED


def test_limit_of_kept_entries_is_read_when_an_instance_starts():
    """Guards against fuzzing tests whose small limit has no effect.

    They change the limit to make snapshots in parts frequent.
    """
    entries = tuple(_data_entry(i, 1) for i in range(1, 21))
    with mock.patch.object(timing, "TRAILING_ENTRIES", 4):
        core = _core(VOTERS[:1], 1, "", entries)
    for step in range(100):
        core.handle(step / 10, tick.Tick())
    assert core.role is role.Role.LEADER
    core.handle(10.0, snapshot_available.SnapshotAvailable(20, b"state"))
    assert core._state.log.base_index == 16


load_tests = fixtures.load_functions(globals())
