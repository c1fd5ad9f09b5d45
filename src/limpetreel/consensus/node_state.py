"""State shared by the parts of the Raft core."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel import exceptions
from limpetreel.consensus import (
    entry_kind,
    member,
    membership,
    raft_log,
    role,
    stamp,
    timing,
)
from limpetreel.consensus.actions import (
    apply,
    membership_changed,
    persist,
    role_changed,
    save_snapshot,
    send,
)

if TYPE_CHECKING:
    import random as randoms

    import msgspec

    from limpetreel.consensus import durable_state, entry, snapshot
    from limpetreel.consensus.messages import envelope


class NodeState:
    """Term, vote, log, members and role of one instance.

    Methods that change the state update it at once and add the action that makes
    the change durable. Since actions are carried out in order, every later action
    of the same event may rely on the change.

    Parameters
    ----------
    durable : DurableState
        State recovered from disk.
    random : random.Random
        Source of election timeouts.
    trailing_entries : int
        Log entries up to the snapshot index that stay in memory.
    """

    def __init__(
        self,
        durable: durable_state.DurableState,
        random: randoms.Random,
        trailing_entries: int,
    ) -> None:
        self.name = durable.name
        self.incarnation = durable.incarnation
        self.identity = member.identity_of(durable.name, durable.incarnation)
        self.term = durable.term
        self.vote = durable.vote
        self.snapshot = durable.snapshot
        base = durable.snapshot
        self.log = raft_log.RaftLog(base.index, base.term, durable.entries)
        self.commit = base.index
        self.role = role.Role.FOLLOWER
        self.leader = ""
        self.last_leader_contact = float("-inf")
        self.has_short_timeouts = False
        self.election_deadline = float("inf")
        self.actions: list[msgspec.Struct] = []
        self._random = random
        self._trailing_entries = trailing_entries
        self._session = random.getrandbits(63)
        self._memberships = [(base.index, base.members)]
        self._record_memberships(durable.entries)

    @property
    def members(self) -> membership.Members:
        """Return the members in effect, which the last membership entry sets."""
        return self._memberships[-1][1]

    @property
    def members_index(self) -> int:
        """Return the index of the entry that set the members in effect."""
        return self._memberships[-1][0]

    def is_voter(self) -> bool:
        """Return whether this instance is a voting member."""
        return self.identity in membership.voters(self.members)

    def has_quorum(self, identities: set[str]) -> bool:
        """Return whether the identities include a majority of the voters."""
        return membership.has_quorum(self.members, identities)

    def peers(self) -> list[member.Member]:
        """Return the other members."""
        return [m for m in self.members if m.identity != self.identity]

    def make_stamp(self, now: float) -> stamp.Stamp:
        """Return a stamp with the current time of this instance's clock."""
        return stamp.Stamp(self._session, now)

    def is_local_stamp(self, received: stamp.Stamp) -> bool:
        """Return whether this instance made the stamp since its start."""
        return received.session == self._session

    def send(self, peer: member.Member, message: envelope.Message) -> None:
        """Send a message to a member."""
        self.actions.append(send.Send(peer.identity, peer.address, message))

    def reply(self, request: envelope.Envelope, message: envelope.Message) -> None:
        """Send a message to the sender of `request`."""
        self.actions.append(send.Send(request.sender, request.address, message))

    def reset_pre_vote_timer(self, now: float) -> None:
        """Restart the timer of pre-votes, which is shorter before the first leader."""
        has_had_leader = self.last_leader_contact != float("-inf")
        if has_had_leader or not self.has_short_timeouts:
            self.reset_election_timer(now)
            return
        low = timing.RETRY_ELECTION_MIN_SECONDS
        high = timing.RETRY_ELECTION_MAX_SECONDS
        self.election_deadline = now + self._random.uniform(low, high)

    def reset_election_timer(self, now: float) -> None:
        """Restart the election timer with a random timeout."""
        low, high = timing.ELECTION_MIN_SECONDS, timing.ELECTION_MAX_SECONDS
        self.election_deadline = now + self._random.uniform(low, high)

    def change_role(self, new_role: role.Role, leader: str) -> None:
        """Change the role or the known leader in the current term."""
        self.role = new_role
        self.leader = leader
        self.actions.append(role_changed.RoleChanged(new_role, self.term, leader))

    def enter_term(self, term: int, vote: str = "") -> None:
        """Enter a later term, or vote in the current one."""
        if term < self.term or (term == self.term and self.vote not in ("", vote)):
            raise exceptions.ConsensusError(
                "consensus.enter_term", f"second vote in term {self.term}"
            )
        self.term = term
        self.vote = vote
        self.actions.append(persist.Persist(term, vote))

    def append(self, entries: tuple[entry.Entry, ...]) -> None:
        """Append entries, replacing the log from the index of the first one on."""
        first = entries[0].index
        if first <= self.commit:
            raise exceptions.ConsensusError(
                "consensus.append", f"entry {first} is committed and cannot be replaced"
            )
        truncate_from = first if first <= self.log.last_index else 0
        previous = self.members
        if truncate_from:
            self.log.truncate_from(first)
            self._memberships = [m for m in self._memberships if m[0] < first]
        self.log.append(entries)
        self._record_memberships(entries)
        self.actions.append(
            persist.Persist(self.term, self.vote, truncate_from, entries)
        )
        self._report_membership_change(previous)

    def advance_commit(self, index: int) -> list[entry.Entry]:
        """Apply entries up to `index` and return the newly committed ones."""
        if index <= self.commit:
            return []
        committed = self.log.between(self.commit + 1, index)
        self.commit = index
        for new in committed:
            if new.kind is entry_kind.EntryKind.DATA:
                self.actions.append(apply.Apply(new.index, new.data))
        return committed

    def take_snapshot(self, index: int, data: bytes) -> None:
        """Save a snapshot of the local state machine and compact the log."""
        term = self.log.term_at(index)
        if index <= self.snapshot.index or index > self.commit or term is None:
            return
        members = [m[1] for m in self._memberships if m[0] <= index][-1]
        local = type(self.snapshot)(index, term, members, data)
        self._save_snapshot(local, keep_log=True)
        self.log.compact(index - self._trailing_entries)

    def install_snapshot(self, received: snapshot.Snapshot) -> None:
        """Replace the log up to the index of a snapshot received from the leader."""
        previous = self.members
        keep_log = self.log.term_at(received.index) == received.term
        if keep_log:
            self.log.compact(received.index)
        else:
            self.log.reset(received.index, received.term)
            self._memberships.clear()
        self._save_snapshot(received, keep_log)
        self.commit = received.index
        self._report_membership_change(previous)

    def _save_snapshot(self, newest: snapshot.Snapshot, keep_log: bool) -> None:
        self.snapshot = newest
        later = [m for m in self._memberships if m[0] > newest.index]
        self._memberships = [(newest.index, newest.members), *later]
        self.actions.append(save_snapshot.SaveSnapshot(newest, keep_log))

    def _record_memberships(self, entries: tuple[entry.Entry, ...]) -> None:
        for new in entries:
            if new.kind is entry_kind.EntryKind.MEMBERS:
                self._memberships.append((new.index, membership.decode(new.data)))

    def _report_membership_change(self, previous: membership.Members) -> None:
        if self.members != previous:
            changed = membership_changed.MembershipChanged(self.members)
            self.actions.append(changed)
