"""State that all parts of the consensus core share."""

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

    The changing methods update the state at once and add the action that makes the
    change durable. Since actions are carried out in order, every later action of
    the same event may rely on it.

    Parameters
    ----------
    durable : DurableState
        What was recovered from disk.
    random : random.Random
        Source of election timeouts.
    trailing_entries : int
        Entries that are kept in memory before a snapshot.
    """

    def __init__(
        self,
        durable: durable_state.DurableState,
        random: randoms.Random,
        trailing_entries: int = timing.TRAILING_ENTRIES,
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
        self.election_deadline = float("inf")
        self.actions: list[msgspec.Struct] = []
        self._random = random
        self._trailing_entries = trailing_entries
        self._session = random.getrandbits(63)
        self._memberships = [(base.index, base.members)]
        self._record_memberships(durable.entries)

    @property
    def members(self) -> membership.Members:
        """Return the members in effect: those of the last entry that sets them."""
        return self._memberships[-1][1]

    @property
    def members_index(self) -> int:
        """Return the entry that set the members in effect."""
        return self._memberships[-1][0]

    def is_voter(self) -> bool:
        """Return whether this instance may stand for election."""
        return self.identity in membership.voters(self.members)

    def has_quorum(self, identities: set[str]) -> bool:
        """Return whether the identities hold a majority of the voters."""
        return membership.has_quorum(self.members, identities)

    def peers(self) -> list[member.Member]:
        """Return the other members."""
        return [m for m in self.members if m.identity != self.identity]

    def make_stamp(self, now: float) -> stamp.Stamp:
        """Return the present moment on this instance's clock."""
        return stamp.Stamp(self._session, now)

    def is_local_stamp(self, item: stamp.Stamp) -> bool:
        """Return whether a stamp was made since this instance started."""
        return item.session == self._session

    def send(self, peer: member.Member, message: envelope.Message) -> None:
        """Send a message to a member."""
        self.actions.append(send.Send(peer.identity, peer.address, message))

    def reply(self, request: envelope.Envelope, message: envelope.Message) -> None:
        """Send a message to the sender of another."""
        self.actions.append(send.Send(request.sender, request.address, message))

    def start_first_election_timer(self, now: float) -> None:
        """Wait for a leader after a start."""
        low = timing.FIRST_ELECTION_MIN_SECONDS
        high = timing.FIRST_ELECTION_MAX_SECONDS
        self.election_deadline = now + self._random.uniform(low, high)

    def reset_election_timer(self, now: float) -> None:
        """Wait for a leader for another random time."""
        low, high = timing.ELECTION_MIN_SECONDS, timing.ELECTION_MAX_SECONDS
        self.election_deadline = now + self._random.uniform(low, high)

    def change_role(self, new_role: role.Role, leader: str) -> None:
        """Take a role in the present term."""
        self.role = new_role
        self.leader = leader
        self.actions.append(role_changed.RoleChanged(new_role, self.term, leader))

    def enter_term(self, term: int, vote: str = "") -> None:
        """Start a later term, or vote in the present one."""
        if term < self.term or (term == self.term and self.vote not in ("", vote)):
            raise exceptions.ConsensusError(
                "consensus.enter_term", f"second vote in term {self.term}"
            )
        self.term = term
        self.vote = vote
        self.actions.append(persist.Persist(term, vote))

    def append(self, entries: tuple[entry.Entry, ...]) -> None:
        """Append entries, replacing what the log holds from the first of them on."""
        first = entries[0].index
        if first <= self.commit:
            raise exceptions.ConsensusError(
                "consensus.append", f"entry {first} is accepted and cannot change"
            )
        truncate_from = first if first <= self.log.last_index else 0
        before = self.members
        if truncate_from:
            self.log.truncate_from(first)
            self._memberships = [c for c in self._memberships if c[0] < first]
        self.log.append(entries)
        self._record_memberships(entries)
        self.actions.append(
            persist.Persist(self.term, self.vote, truncate_from, entries)
        )
        self._report_membership_change(before)

    def advance_commit(self, index: int) -> list[entry.Entry]:
        """Apply entries up to `index` and return all that are newly accepted."""
        if index <= self.commit:
            return []
        accepted = self.log.between(self.commit + 1, index)
        self.commit = index
        for item in accepted:
            if item.kind is entry_kind.EntryKind.DATA:
                self.actions.append(apply.Apply(item.index, item.data))
        return accepted

    def take_snapshot(self, index: int, data: bytes) -> None:
        """Make durable a snapshot of the own state machine."""
        term = self.log.term_at(index)
        if index <= self.snapshot.index or index > self.commit or term is None:
            return
        members = [c[1] for c in self._memberships if c[0] <= index][-1]
        made = type(self.snapshot)(index, term, members, data)
        self._save(made, keep_log=True)
        self.log.compact(index - self._trailing_entries)

    def install_snapshot(self, received: snapshot.Snapshot) -> None:
        """Replace the log up to the index of a snapshot from the leader."""
        before = self.members
        keep_log = self.log.term_at(received.index) == received.term
        if keep_log:
            self.log.compact(received.index)
        else:
            self.log.reset(received.index, received.term)
            self._memberships.clear()
        self._save(received, keep_log)
        self.commit = received.index
        self._report_membership_change(before)

    def _save(self, item: snapshot.Snapshot, keep_log: bool) -> None:
        self.snapshot = item
        later = [c for c in self._memberships if c[0] > item.index]
        self._memberships = [(item.index, item.members), *later]
        self.actions.append(save_snapshot.SaveSnapshot(item, keep_log))

    def _record_memberships(self, entries: tuple[entry.Entry, ...]) -> None:
        for item in entries:
            if item.kind is entry_kind.EntryKind.MEMBERS:
                self._memberships.append((item.index, membership.decode(item.data)))

    def _report_membership_change(self, before: membership.Members) -> None:
        if self.members != before:
            changed = membership_changed.MembershipChanged(self.members)
            self.actions.append(changed)
