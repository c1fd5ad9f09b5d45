"""Cluster of Raft cores on a fake network and fake disks, with an oracle.

The oracle checks safety from what was proposed, committed, applied and leased only.
"""

from __future__ import annotations

import heapq
import random

import msgspec

from limpetreel import exceptions
from limpetreel.consensus import member, membership, raft_core, role
from limpetreel.consensus.actions import (
    apply,
    install_snapshot,
    membership_changed,
    persist,
    proposal_result,
    read_result,
    role_changed,
    save_snapshot,
    send,
)
from limpetreel.consensus.events import (
    message_received,
    proposal,
    propose,
    read,
    snapshot_available,
    tick,
)
from limpetreel.consensus.messages import envelope, envelope_codec
from limpetreel.storage import log_store
from tests.storage import fake_disk

STEP_SECONDS = 0.02
LEASE_SECONDS = 2.0
SLACK_SECONDS = 1e-6
_CRASH_ERRORS = (fake_disk.Crashed, exceptions.StorageError)


class Oracle:
    """Committed entries and the safety checks on them."""

    def __init__(self):
        self.applied = {}
        self.committed = {}
        self.committed_at = {}
        self.leaders = {}

    def record_leader(self, term, identity):
        assert self.leaders.setdefault(term, identity) == identity, "two leaders"

    def record_applied(self, index, data):
        assert self.applied.setdefault(index, data) == data, f"entry {index} differs"

    def record_commit(self, now, index, data):
        assert self.applied.get(index) == data, "committed, but not applied"
        self.committed[index] = data
        self.committed_at.setdefault(index, now)

    def check_lease(self, now, remaining, state):
        """Check that each lease ends at most 2 s after any commit its holder lacks."""
        for index, committed_at in self.committed_at.items():
            if index not in state:
                assert (
                    now + remaining <= committed_at + LEASE_SECONDS + SLACK_SECONDS
                ), f"lease outlives the commit of entry {index}, which its holder lacks"


class Instance:
    """One control instance with a minimal shell."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = name
        self.disk = fake_disk.FakeDisk()
        self.core = None
        self.state = {}
        self.clock_offset = cluster.rng.uniform(0, 1000)
        self.actions_until_crash = None

    def start(self):
        """Start from the disk; a disk fault crashes the instance."""
        try:
            self._start()
        except _CRASH_ERRORS as exc:
            self._stop(exc)

    def _start(self):
        store = log_store.LogStore(self.disk)
        durable = store.recover()
        if durable is None:
            # Stands for the operator who decides that the instance joins.
            store.create(self.name, self.cluster.next_incarnation(), ())
            store = log_store.LogStore(self.disk)
            durable = store.recover()
        seeds = [n for n in self.cluster.instances if n != self.name]
        rng = random.Random(self.cluster.rng.random())
        self.store = store
        self.core = raft_core.RaftCore(durable, rng, self.name, seeds)
        self.state = _decode_state(durable.snapshot.data)
        self.clock_offset += 1.0

    def now(self):
        return self.cluster.now + self.clock_offset

    def crash(self):
        self.core = None
        self.actions_until_crash = None
        self.disk.crash(self.cluster.rng)

    def handle(self, event):
        if self.core is None:
            return
        try:
            for action in self.core.handle(self.now(), event):
                if self.actions_until_crash is not None:
                    self.actions_until_crash -= 1
                    if self.actions_until_crash < 0:
                        raise fake_disk.Crashed
                self._execute(action)
        except _CRASH_ERRORS as exc:
            self._stop(exc)

    def _stop(self, exc):
        assert not isinstance(exc, exceptions.CorruptError)
        self.crash()

    def _execute(self, action):
        cluster = self.cluster
        match action:
            case persist.Persist():
                self.store.persist(action)
            case save_snapshot.SaveSnapshot():
                self.store.save_snapshot(action)
            case send.Send():
                cluster.send(self, action)
            case apply.Apply():
                assert action.index not in self.state, "applied twice"
                self.state[action.index] = action.data
                cluster.oracle.record_applied(action.index, action.data)
            case install_snapshot.InstallSnapshot():
                assert action.index > max(self.state, default=0)
                self.state = _decode_state(action.data)
            case proposal_result.ProposalResult():
                cluster.record_result(action)
            case read_result.ReadResult():
                cluster.check_read(self, action)
            case membership_changed.MembershipChanged():
                assert action.members == self.core.members
            case role_changed.RoleChanged():
                if action.role is role.Role.LEADER:
                    cluster.oracle.record_leader(action.term, self.core.identity)


class Cluster:
    """Control instances on one fake clock.

    Parameters
    ----------
    size : int
        Number of instances.
    seed : int
        Seed of all random choices.
    """

    def __init__(self, size, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.oracle = Oracle()
        self.instances = {}
        self.partitioned = set()
        self.loss = 0.0
        self.max_delay = 0.03
        self.sent_count = 0
        self.proposals = {}
        self.reads = {}
        self.current_reads = 0
        self._queue = []
        self._next_id = 0
        self._incarnation = 1
        names = [f"c{i}" for i in range(size)]
        members = tuple(member.Member(n, 1, n) for n in names)
        for name in names:
            self.instances[name] = Instance(self, name)
        for instance in self.instances.values():
            log_store.LogStore(instance.disk).create(instance.name, 1, members)
            instance.start()

    def next_incarnation(self):
        self._incarnation += 1
        return self._incarnation

    def live(self):
        return [i for i in self.instances.values() if i.core is not None]

    def leader(self):
        leaders = [i for i in self.live() if i.core.role is role.Role.LEADER]
        return max(leaders, key=lambda i: i.core.term, default=None)

    def send(self, sender, action):
        """Send a message, lost, duplicated, delayed or reordered at random."""
        core = sender.core
        message = envelope.Envelope(
            core.identity, sender.name, action.peer, action.message
        )
        data = envelope_codec.encode(message)
        copies = 0 if self.rng.random() < self.loss else 1
        copies += self.rng.random() < self.loss
        for _ in range(copies):
            delay = self.rng.uniform(0.0005, self.max_delay)
            if self.rng.random() < self.loss / 10:
                delay += self.rng.uniform(0, 3.0)
            self.sent_count += 1
            arrives_at = self.now + delay
            heapq.heappush(
                self._queue,
                (arrives_at, self.sent_count, sender.name, action.address, data),
            )

    def run(self, seconds):
        """Advance the clock, delivering messages and ticks."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            while self._queue and self._queue[0][0] <= self.now:
                self._deliver(*heapq.heappop(self._queue)[2:])
            for instance in self.live():
                instance.handle(tick.Tick())
            for instance in self.live():
                remaining = instance.core.lease_remaining(instance.now())
                if remaining > 0:
                    self.oracle.check_lease(self.now, remaining, instance.state)

    def run_until(self, condition, limit=20.0):
        """Advance the clock until a condition holds; fail after `limit` seconds."""
        end = self.now + limit
        while not condition():
            assert self.now < end, f"condition does not hold after {limit} s"
            self.run(STEP_SECONDS)

    def propose(self, instance, count=1):
        proposals = []
        for _ in range(count):
            self._next_id += 1
            data = b"p%d" % self._next_id
            self.proposals[self._next_id] = data
            proposals.append(proposal.Proposal(self._next_id, data))
        instance.handle(propose.Propose(tuple(proposals)))
        return proposals[-1].data

    def read(self, instance):
        self._next_id += 1
        self.reads[self._next_id] = set(self.oracle.committed)
        instance.handle(read.Read(self._next_id))

    def take_snapshot(self, instance):
        if instance.core is not None and instance.state:
            data = msgspec.msgpack.encode(instance.state)
            index = max(instance.state)
            instance.handle(snapshot_available.SnapshotAvailable(index, data))

    def can_lose_disk(self, name):
        """Return whether a majority of every membership in effect keeps its disk."""
        holders = {i.core.identity for i in self.live() if i.name != name}
        memberships = [i.core.members for i in self.live() if i.core.members]
        return len(self.live()) == len(self.instances) and all(
            membership.has_quorum(m, holders) for m in memberships
        )

    def lose_disk(self, name):
        """Replace the disk of an instance by an empty one and restart it."""
        instance = self.instances[name]
        instance.crash()
        instance.disk = fake_disk.FakeDisk()
        instance.start()

    def heal(self):
        """End all faults and start all instances."""
        self.partitioned = set()
        self.loss = 0.0
        for instance in self.instances.values():
            instance.actions_until_crash = None
            instance.disk.crash_in = instance.disk.fail_sync_in = None
            if instance.core is None:
                instance.start()

    def check_all_recover(self):
        """Check that without faults all instances vote and have all committed data."""
        self.heal()
        self.run_until(self._agree_on_membership)
        # An election in progress may still replace the first leader.
        self.run_until(self._can_commit)
        self.run_until(self._have_equal_commit)
        for instance in self.instances.values():
            for index, expected in self.oracle.committed.items():
                assert instance.state.get(index) == expected, "committed entry lost"

    def record_result(self, action):
        data = self.proposals.get(action.proposal_id)
        if isinstance(action.result, int) and data is not None:
            self.oracle.record_commit(self.now, action.result, data)

    def check_read(self, instance, action):
        expected = self.reads[action.read_id]
        if action.current:
            self.current_reads += 1
            assert expected <= set(instance.state), (
                "current read misses a committed entry"
            )

    def _deliver(self, sender, address, data):
        target = self.instances[address]
        if (sender in self.partitioned) == (address in self.partitioned):
            target.handle(message_received.MessageReceived(envelope_codec.decode(data)))

    def _can_commit(self):
        leader = self.leader()
        if leader is None:
            return False
        data = self.propose(leader)
        self.run(0.4)
        return data in self.oracle.committed.values()

    def _have_equal_commit(self):
        leader = self.leader()
        return leader is not None and all(
            i.core.commit == leader.core.commit for i in self.live()
        )

    def _agree_on_membership(self):
        leader = self.leader()
        if leader is None:
            return False
        identities = {i.core.identity for i in self.live()}
        members = leader.core.members
        return set(membership.voters(members)) == identities and all(
            i.core.members == members and i.core.leader == leader.core.identity
            for i in self.live()
        )


def _decode_state(data):
    return msgspec.msgpack.decode(data, type=dict[int, bytes]) if data else {}
