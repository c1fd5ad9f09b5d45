"""Cores joined by a fake network and fake disks, with an oracle.

The oracle knows only what was proposed, accepted, applied and leased.
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

STEP = 0.02
LEASE = 2.0
SLACK = 1e-6
_STOPPED = (fake_disk.Crashed, exceptions.StorageError)


class Oracle:
    """The accepted sequence and who may know what."""

    def __init__(self):
        self.applied = {}
        self.accepted = {}
        self.accepted_at = {}
        self.leaders = {}

    def note_leader(self, term, identity):
        assert self.leaders.setdefault(term, identity) == identity, "two leaders"

    def note_applied(self, index, data):
        assert self.applied.setdefault(index, data) == data, f"entry {index} differs"

    def note_accepted(self, now, index, data):
        assert self.applied.get(index) == data, "accepted, but not applied"
        self.accepted[index] = data
        self.accepted_at.setdefault(index, now)

    def check_lease(self, now, remaining, state):
        """No lease outlives by 2 s an acceptance that its holder does not know."""
        for index, at in self.accepted_at.items():
            if index not in state:
                assert now + remaining <= at + LEASE + SLACK, f"lease ignores {index}"


class Instance:
    """One control instance: the shell in its simplest form."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = name
        self.disk = fake_disk.FakeDisk()
        self.core = None
        self.state = {}
        self.clock_offset = cluster.rng.uniform(0, 1000)
        self.crash_in = None

    def start(self):
        """Start on what the disk holds; a fault of the disk ends the start."""
        try:
            self._start()
        except _STOPPED as exc:
            self._stop(exc)

    def _start(self):
        store = log_store.LogStore(self.disk)
        durable = store.recover()
        if durable is None:
            # The test stands in for the operator who decides that it joins.
            store.create(self.name, self.cluster.next_incarnation(), ())
            store = log_store.LogStore(self.disk)
            durable = store.recover()
        seeds = [n for n in self.cluster.instances if n != self.name]
        seed = random.Random(self.cluster.rng.random())
        self.store = store
        self.core = raft_core.RaftCore(durable, seed, self.name, seeds)
        self.state = _decoded(durable.snapshot.data)
        self.clock_offset += 1.0

    def now(self):
        return self.cluster.now + self.clock_offset

    def crash(self):
        self.core = None
        self.crash_in = None
        self.disk.crash(self.cluster.rng)

    def handle(self, event):
        if self.core is None:
            return
        try:
            for action in self.core.handle(self.now(), event):
                if self.crash_in is not None:
                    self.crash_in -= 1
                    if self.crash_in < 0:
                        raise fake_disk.Crashed
                self._carry_out(action)
        except _STOPPED as exc:
            self._stop(exc)

    def _stop(self, exc):
        assert not isinstance(exc, exceptions.CorruptError)
        self.crash()

    def _carry_out(self, action):
        cluster = self.cluster
        match action:
            case persist.Persist():
                self.store.persist(action)
            case save_snapshot.SaveSnapshot():
                self.store.save_snapshot(action)
            case send.Send():
                cluster.post(self, action)
            case apply.Apply():
                assert action.index not in self.state, "applied twice"
                self.state[action.index] = action.data
                cluster.oracle.note_applied(action.index, action.data)
            case install_snapshot.InstallSnapshot():
                assert action.index > max(self.state, default=0)
                self.state = _decoded(action.data)
            case proposal_result.ProposalResult():
                cluster.note_result(action)
            case read_result.ReadResult():
                cluster.note_read(self, action)
            case membership_changed.MembershipChanged():
                assert action.members == self.core.members
            case role_changed.RoleChanged():
                if action.role is role.Role.LEADER:
                    cluster.oracle.note_leader(action.term, self.core.identity)


class Cluster:
    """Instances on one fake clock.

    Parameters
    ----------
    size : int
        Number of instances.
    seed : int
        Seed of everything random.
    """

    def __init__(self, size, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.oracle = Oracle()
        self.instances = {}
        self.cut = set()
        self.loss = 0.0
        self.max_delay = 0.03
        self.posts = 0
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
        found = [i for i in self.live() if i.core.role is role.Role.LEADER]
        return max(found, key=lambda i: i.core.term, default=None)

    def post(self, sender, action):
        """Send a message: lost, repeated, delayed and so reordered at random."""
        core = sender.core
        item = envelope.Envelope(
            core.identity, sender.name, action.peer, action.message
        )
        data = envelope_codec.encode(item)
        copies = 0 if self.rng.random() < self.loss else 1
        copies += self.rng.random() < self.loss
        for _ in range(copies):
            delay = self.rng.uniform(0.0005, self.max_delay)
            if self.rng.random() < self.loss / 10:
                delay += self.rng.uniform(0, 3.0)
            self.posts += 1
            at = self.now + delay
            heapq.heappush(
                self._queue, (at, self.posts, sender.name, action.address, data)
            )

    def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            while self._queue and self._queue[0][0] <= self.now:
                self._deliver(*heapq.heappop(self._queue)[2:])
            for instance in self.live():
                instance.handle(tick.Tick())
            for instance in self.live():
                remaining = instance.core.lease_remaining(instance.now())
                if remaining > 0:
                    self.oracle.check_lease(self.now, remaining, instance.state)

    def run_until(self, condition, limit=20.0):
        """Let time pass until a condition holds; fail after `limit` seconds."""
        end = self.now + limit
        while not condition():
            assert self.now < end, "not reached in time"
            self.run(STEP)

    def propose(self, instance, count=1):
        items = []
        for _ in range(count):
            self._next_id += 1
            data = b"p%d" % self._next_id
            self.proposals[self._next_id] = data
            items.append(proposal.Proposal(self._next_id, data))
        instance.handle(propose.Propose(tuple(items)))
        return items[-1].data

    def read(self, instance):
        self._next_id += 1
        self.reads[self._next_id] = set(self.oracle.accepted)
        instance.handle(read.Read(self._next_id))

    def take_snapshot(self, instance):
        if instance.core is not None and instance.state:
            data = msgspec.msgpack.encode(instance.state)
            index = max(instance.state)
            instance.handle(snapshot_available.SnapshotAvailable(index, data))

    def may_lose(self, name):
        """Return whether a majority of all members in effect keeps its disk."""
        holders = {i.core.identity for i in self.live() if i.name != name}
        known = [i.core.members for i in self.live() if i.core.members]
        return len(self.live()) == len(self.instances) and all(
            membership.has_quorum(m, holders) for m in known
        )

    def lose_disk(self, name):
        """Replace the disk by an empty one and start again."""
        instance = self.instances[name]
        instance.crash()
        instance.disk = fake_disk.FakeDisk()
        instance.start()

    def heal(self):
        """End all faults and start all instances."""
        self.cut = set()
        self.loss = 0.0
        for instance in self.instances.values():
            instance.crash_in = None
            instance.disk.crash_in = instance.disk.fail_sync_in = None
            if instance.core is None:
                instance.start()

    def check_all_recover(self):
        """Without faults, all agree, vote again and hold all that was accepted."""
        self.heal()
        self.run_until(self._is_whole)
        # An election that was under way may still replace the first leader.
        self.run_until(self._accepts)
        self.run_until(self._is_level)
        for instance in self.instances.values():
            for index, expected in self.oracle.accepted.items():
                assert instance.state.get(index) == expected, "accepted entry lost"

    def note_result(self, action):
        data = self.proposals.get(action.proposal_id)
        if isinstance(action.result, int) and data is not None:
            self.oracle.note_accepted(self.now, action.result, data)

    def note_read(self, instance, action):
        expected = self.reads[action.read_id]
        if action.current:
            self.current_reads += 1
            assert expected <= set(instance.state), "current read misses an entry"

    def _deliver(self, sender, address, data):
        target = self.instances[address]
        if (sender in self.cut) == (address in self.cut):
            target.handle(message_received.MessageReceived(envelope_codec.decode(data)))

    def _accepts(self):
        leader = self.leader()
        if leader is None:
            return False
        data = self.propose(leader)
        self.run(0.4)
        return data in self.oracle.accepted.values()

    def _is_level(self):
        leader = self.leader()
        return leader is not None and all(
            i.core.commit == leader.core.commit for i in self.live()
        )

    def _is_whole(self):
        leader = self.leader()
        if leader is None:
            return False
        identities = {i.core.identity for i in self.live()}
        members = leader.core.members
        return set(membership.voters(members)) == identities and all(
            i.core.members == members and i.core.leader == leader.core.identity
            for i in self.live()
        )


def _decoded(data):
    return msgspec.msgpack.decode(data, type=dict[int, bytes]) if data else {}
