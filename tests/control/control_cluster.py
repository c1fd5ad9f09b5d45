"""Control cores, nodes and operators on a fake network and fake disks."""

from __future__ import annotations

import functools
import heapq
import random

import msgspec

from limpetreel import exceptions
from limpetreel.catalog import node_identity
from limpetreel.catalog import role as node_role
from limpetreel.catalog.commands import bootstrap
from limpetreel.consensus import member, membership, raft_core, role
from limpetreel.consensus.actions import persist, save_snapshot
from limpetreel.control import control_core, founding
from limpetreel.control.actions import answer_operator, save_founding, send_peer
from limpetreel.control.events import leave, operator_call, peer_message
from limpetreel.node import frame_arrived, node_link, send_frame, tick
from limpetreel.storage import log_store
from limpetreel.wire import address, frame, frame_codec, message_codec
from tests.control import oracle
from tests.storage import fake_disk

STEP = 0.02
KEY = b"fake cluster key"
FIRST_INCARNATION = 1
_STOPPED = (fake_disk.Crashed, exceptions.StorageError)


class Instance:
    """Control instance with a fake disk and network in place of its shell."""

    def __init__(self, cluster, number):
        self.cluster = cluster
        self.number = number
        self.name = f"c{number}"
        self.address = address.Address(1, number + 1)
        self.clock_offset = cluster.rng.uniform(0, 1000)
        self.core = None
        self.crash_in = None
        self.sync_delay = 0.0
        self.busy_until = 0.0
        self.refusals = 0
        self.replace_disk()

    def replace_disk(self):
        self.disk = fake_disk.FakeDisk()

    def init(self, founders=()):
        """Initialise the data folder, as `limpetreel init` does."""
        cluster = self.cluster
        incarnation = FIRST_INCARNATION if founders else cluster.next_number()
        store = log_store.LogStore(self.disk)
        store.create(self.name, incarnation, founders, cluster.next_number())

    def start(self):
        try:
            self._start()
        except _STOPPED as exc:
            self._stop(exc)

    def _start(self):
        cluster = self.cluster
        self.store = log_store.LogStore(self.disk)
        durable = self.store.recover()
        if durable is None:
            self.init()
            self.store = log_store.LogStore(self.disk)
            durable = self.store.recover()
        seeds = [n for n in cluster.instances if n != self.name]
        rng = random.Random(cluster.rng.random())
        raft = raft_core.RaftCore(durable, rng, self.name, seeds)
        first = bootstrap.Bootstrap(20000, 20999)
        start = founding.Founding(durable, self.name)
        self.clock_offset += 1.0
        self.core = control_core.ControlCore(self.now(), raft, first, self.name, start)
        self.codec = frame_codec.FrameCodec(KEY, self.number, cluster.next_number())
        self.busy_until = 0.0

    def now(self):
        return self.cluster.now + self.clock_offset

    def is_free(self):
        return self.core is not None and self.cluster.now >= self.busy_until

    def freeze(self, seconds):
        """Pause the process for a time."""
        self.busy_until = max(self.busy_until, self.cluster.now + seconds)

    def crash(self):
        self.core = None
        self.crash_in = None
        self.disk.crash(self.cluster.rng)

    def handle(self, event):
        if self.core is None:
            return
        if not self.is_free():
            handle_later = functools.partial(self._handle_delayed, self.core)
            self.cluster.at(self.busy_until, handle_later, event)
            return
        try:
            for action in self.core.handle(self.now(), event):
                if self.crash_in is not None:
                    self.crash_in -= 1
                    if self.crash_in < 0:
                        raise fake_disk.Crashed
                self._execute(action)
        except _STOPPED as exc:
            self._stop(exc)

    def _handle_delayed(self, core, event):
        # Data in the socket buffers is lost with the process.
        if core is self.core:
            self.handle(event)

    def _stop(self, exc):
        assert not isinstance(exc, exceptions.CorruptError), exc
        is_refused = getattr(exc, "step", "") == "control.founding"
        self.crash()
        if is_refused:
            # The message tells the operator to empty the folder and to join.
            self.refusals += 1
            self.replace_disk()

    def _execute(self, action):
        cluster = self.cluster
        match action:
            case persist.Persist():
                # A slow sync delays the actions and events after it.
                self.freeze(self.sync_delay)
                self.sync_delay = 0.0
                self.store.persist(action)
            case save_snapshot.SaveSnapshot():
                self.store.save_snapshot(action)
            case save_founding.SaveFounding():
                self.store.save_founding(action.record)
            case send_peer.SendPeer():
                target = cluster.instances[action.address]
                event = peer_message.PeerMessage(action.kind, action.body)
                cluster.post(self.name, target.name, target.handle, event, self)
            case send_frame.SendFrame():
                data = self.codec.encode(action.kind, action.target, action.body)
                node = cluster.nodes[action.destination]
                args = (self.address, data)
                cluster.post(self.name, node.name, node.receive, args, self)
            case answer_operator.AnswerOperator():
                cluster.answered(self, action)

    def receive(self, args):
        source, data = args
        if self.core is not None:
            received = self.codec.decode(data)
            if isinstance(received, frame.Frame):
                self.handle(frame_arrived.FrameArrived(source, received))


class Node:
    """An entry that renews its lease; only its `NodeLink` is production code."""

    def __init__(self, cluster, number):
        self.cluster = cluster
        self.name = f"n{number}"
        self.address = address.Address(2, number + 1)
        ident = node_identity.NodeIdentity(
            self.name, node_role.Role.ENTRY, "", "z0", "r", "0.0.0.2", number + 1, 5
        )
        controls = [i.address for i in cluster.instances.values()]
        self.link = node_link.NodeLink(ident, controls, number)
        self.codec = frame_codec.FrameCodec(KEY, self.link.node_id, 5)
        self.revision = 0

    def tick(self):
        self._send(self.link.tick(self.cluster.now))

    def receive(self, args):
        source, data = args
        received = self.codec.decode(data)
        if isinstance(received, frame.Frame):
            message = message_codec.decode(received.body)
            now, number = self.cluster.now, received.incarnation
            self._send(self.link.receive(now, source, number, message))
            revision = self.link.table.revision
            assert revision >= self.revision, "node table reverted"
            self.revision = revision

    def _send(self, actions):
        for action in actions:
            data = self.codec.encode(action.kind, action.target, action.body)
            for instance in self.cluster.instances.values():
                if instance.address == action.destination:
                    args = (self.address, data)
                    self.cluster.post(self.name, instance.name, instance.receive, args)


class Cluster:
    """Instances, nodes and operators on one fake clock."""

    def __init__(self, size, seed, nodes=2):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.oracle = oracle.Oracle()
        self.instances = {}
        self.blocked_links = set()
        self.loss = 0.0
        self._queue = []
        self._number = 1000
        self._calls = {}
        self.answers = {}
        names = [f"c{i}" for i in range(size)]
        self.founders = tuple(member.Member(n, FIRST_INCARNATION, n) for n in names)
        for number, name in enumerate(names):
            self.instances[name] = Instance(self, number)
        for instance in self.instances.values():
            instance.init(self.founders)
            instance.start()
        self.nodes = {}
        for number in range(nodes):
            node = Node(self, number)
            self.nodes[node.address] = node

    def next_number(self):
        self._number += 1
        return self._number

    def live(self):
        return [i for i in self.instances.values() if i.core is not None]

    def leader(self):
        leaders = [i for i in self.live() if i.core.raft.role is role.Role.LEADER]
        return max(leaders, key=lambda i: i.core.raft.term, default=None)

    def at(self, when, handler, event):
        heapq.heappush(self._queue, (when, self.next_number(), handler, event))

    def post(self, source, target, handler, event, sender=None):
        """Deliver a message; at random it is lost, duplicated or delayed."""
        if (source, target) in self.blocked_links:
            return
        copies = 0 if self.rng.random() < self.loss else 1
        copies += self.rng.random() < self.loss
        begin = self.now if sender is None else max(self.now, sender.busy_until)
        for _ in range(copies):
            delay = self.rng.uniform(0.0005, 0.03)
            if self.rng.random() < self.loss / 10:
                delay += self.rng.uniform(0, 3.0)
            self.at(begin + delay, handler, event)

    def partition_off(self, names, directions=("out", "in")):
        """Block the links of instances to all others and the nodes."""
        self.blocked_links = set()
        others = {*self.instances, *(n.name for n in self.nodes.values())} - names
        for name in names:
            for other in others:
                if "out" in directions:
                    self.blocked_links.add((name, other))
                if "in" in directions:
                    self.blocked_links.add((other, name))

    def run(self, seconds):
        """Advance the time."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            while self._queue and self._queue[0][0] <= self.now:
                _, _, handler, event = heapq.heappop(self._queue)
                handler(event)
            for instance in self.live():
                if instance.is_free():
                    instance.handle(tick.Tick())
            for node in self.nodes.values():
                node.tick()
            self._check()

    def run_until(self, condition, limit=30.0):
        end = self.now + limit
        while not condition():
            assert self.now < end, f"condition not met within {limit} s"
            self.run(STEP)

    def _check(self):
        for instance in self.live():
            core = instance.core
            if core.raft.role is role.Role.LEADER:
                self.oracle.record_leader(core.raft.term, core.raft.identity)
            if instance.is_free():
                remaining = core.raft.lease_remaining(instance.now())
                self.oracle.check_lease(
                    self.now, remaining, core.catalog.table.revision
                )
        for node in self.nodes.values():
            remaining = node.link.right.lease_ms(self.now) / 1000
            self.oracle.check_lease(self.now, remaining, node.link.table.revision)

    def record_tables(self):
        for instance in self.live():
            self.oracle.record_records(instance.core.catalog.table.records)
        for node in self.nodes.values():
            self.oracle.record_records(node.link.table.records)

    def call(self, instance, body):
        """Send a request to an instance; the request or its answer may be lost."""
        call_id = self.next_number()
        self._calls[call_id] = body, self.oracle.newest(self.now)
        event = operator_call.OperatorCall(call_id, msgspec.json.encode(body))
        self.post("operator", instance.name, instance.handle, event)
        return call_id

    def change(self, instance, kind, name, **fields):
        """Send a new command with the revision that the instance holds."""
        key = f"{kind.partition('_')[0]}/{name}"
        records = instance.core.catalog.table.records if instance.core else {}
        expected = records[key].modified if key in records else 0
        return self.send_command(instance, kind, name, expected, **fields)

    def send_command(self, instance, kind, name, expected, **fields):
        body = {"type": kind, "name": name, "expected": expected, **fields}
        body["command_id"] = f"id-{self.next_number()}"
        self.oracle.commands[body["command_id"]] = body
        return self.call(instance, body)

    def answered(self, instance, action):
        self.at(max(self.now, instance.busy_until), self._receive_answer, action)

    def _receive_answer(self, action):
        call = self._calls.pop(action.call_id, None)
        if call is None:
            return
        body, newest = call
        if "command_id" in body and self.rng.random() < self.loss:
            return
        answer = msgspec.json.decode(action.body)
        self.answers[action.call_id] = answer
        if body["type"] == "table":
            self.oracle.check_current(newest, answer)
        elif "command_id" in body:
            self.oracle.record_answer(self.now, body, answer)

    def can_lose_disk(self, name):
        """Return whether a majority keeps its disk and has all accepted commands."""
        live = self.live()
        if any(i.core.is_founding for i in live):
            return False
        holders = {i.core.raft.identity for i in live if i.name != name}
        return len(live) == len(self.instances) and all(
            i.core.raft.members and membership.has_quorum(i.core.raft.members, holders)
            for i in live
        )

    def lose_disk(self, name, is_mistaken=False):
        """Replace the disk; if mistaken, initialise it as in a new cluster."""
        instance = self.instances[name]
        instance.crash()
        instance.replace_disk()
        instance.init(self.founders if is_mistaken else ())
        instance.start()

    def stop(self, name):
        """Begin a planned stop of an instance."""
        self.instances[name].handle(leave.Leave())

    def end_faults(self):
        self.blocked_links = set()
        self.loss = 0.0
        for instance in self.instances.values():
            instance.crash_in = None
            instance.disk.crash_in = instance.disk.fail_sync_in = None
            if instance.core is None:
                instance.start()

    def has_recovered(self):
        """Return whether all instances run, vote and agree on the leader."""
        self.end_faults()
        leader = self.leader()
        if leader is None:
            return False
        raft = leader.core.raft
        identities = {i.core.raft.identity for i in self.live()}
        return set(membership.voters(raft.members)) == identities and all(
            i.core.raft.members == raft.members and i.core.raft.leader == raft.identity
            for i in self.live()
        )

    def has_converged(self):
        tables = [i.core.catalog.table for i in self.live()]
        tables += [n.link.table for n in self.nodes.values()]
        return len({(t.revision, t.digest) for t in tables}) == 1

    def resend_until_answered(self, body):
        """Resend a command until its outcome is known."""

        def is_answered():
            if body["command_id"] not in self.oracle.answers and self.leader():
                self.call(self.leader(), body)
                self.run(0.2)
            return body["command_id"] in self.oracle.answers

        self.run_until(is_answered)

    def check_all_recover(self):
        """Without faults all agree, and every command has exactly one outcome."""
        self.run_until(self.has_recovered)
        for body in list(self.oracle.commands.values()):
            self.resend_until_answered(body)
        for body in list(self.oracle.commands.values())[-20:]:
            self.call(self.leader() or next(iter(self.live())), body)
        self.run_until(self.has_converged)
        self.record_tables()
        for instance in self.live():
            self.oracle.check_chain(instance.core.catalog.table.records)
