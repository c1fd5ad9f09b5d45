"""Control instances on a fake network and fake disks, with an operator."""

from __future__ import annotations

import heapq
import itertools
import json
import random

from limpetreel import exceptions
from limpetreel.cluster import call_status, cluster_core, cluster_state
from limpetreel.cluster.actions import (
    answer_call,
    send_control,
    send_reports,
    send_session,
)
from limpetreel.cluster.commands import set_configuration, set_zone
from limpetreel.cluster.events import (
    change_requested,
    consensus_arrived,
    read_requested,
    report_arrived,
)
from limpetreel.cluster.messages import cluster_codec, report
from limpetreel.consensus import member, open_membership, raft_core, role
from limpetreel.consensus.actions import persist, save_snapshot
from limpetreel.node import tick
from limpetreel.platform import configuration_format
from limpetreel.storage import log_store
from limpetreel.streams.actions import log_line
from tests.storage import fake_disk

STEP = 0.05
DELAY = (0.0005, 0.004)
PARSER = configuration_format.ConfigurationFormat()
_STOPPED = (fake_disk.Crashed, exceptions.StorageError)


def make_document(version, port=8080, kind="idempotent", **changes):
    """Return a valid document."""
    document = {
        "Version": version,
        "Routes": [
            {
                "Name": "r-1",
                "Host": "198.18.0.1",
                "PathPrefix": f"/{port}/",
                "Type": kind,
                "TimeoutMs": 1200,
                "AimMs": 200,
                "Priority": 1,
                "Backend": "s-1",
                "MaxAttempts": 2,
            }
        ],
        "Backends": [{"Name": "s-1", "MaxConnections": 2000, "WarmupPerS": 0.0}],
        "Limits": {"IdleTimeoutMs": 15000},
    }
    return json.dumps({**document, **changes}).encode()


def _event(message):
    """Return the event of a message from another control instance."""
    if isinstance(message, report.Report):
        return report_arrived.ReportArrived(message, is_direct=False)
    return consensus_arrived.ConsensusArrived(message.envelope)


class Instance:
    """Control instance on a machine with a disk."""

    def __init__(self, group, address, founders=(), has_disk=True):
        self.group, self.address, self.founders = group, address, founders
        self.has_disk = has_disk
        self.disk = fake_disk.FakeDisk()
        self.core = None
        self.lines = []
        self.updates = []

    def start(self):
        """Start from the files on the disk."""
        try:
            store = log_store.LogStore(self.disk)
            durable = store.recover()
            if durable is None:
                number = 1 if self.founders else next(self.group.incarnations)
                store.create(self.address, number, self.founders)
                durable = store.recover()
        except _STOPPED:
            self.disk.crash(self.group.random)
            return
        self.founders = ()
        self.store = store
        raft = raft_core.RaftCore(
            durable,
            random.Random(self.group.random.random()),
            self.address,
            self.group.seeds,
            open_membership.OpenMembership(self.group.voters),
            4,
            is_durable=self.has_disk,
        )
        self.core = cluster_core.ClusterCore(
            raft, PARSER, self.address, lambda: self.group.seeds
        )

    def crash(self):
        """Lose power; the disk, if there is one, keeps what was synced."""
        if not self.has_disk:
            self.lose_disk()
            return
        self.core = None
        self.disk.crash(self.group.random)

    def lose_disk(self):
        """Crash and lose the disk."""
        self.core = None
        self.disk = fake_disk.FakeDisk()

    def handle(self, event):
        """Pass an event to the core."""
        if self.core is None:
            return
        try:
            for action in self.core.handle(self.group.now, event):
                self.execute(action)
        except _STOPPED:
            self.crash()

    def execute(self, action):
        """Execute an action."""
        match action:
            case persist.Persist():
                self.store.persist(action)
            case save_snapshot.SaveSnapshot():
                self.store.save_snapshot(action)
            case send_control.SendControl():
                self.group.post(self.address, action)
            case send_reports.SendReports():
                for data in action.messages:
                    one = send_control.SendControl(action.address, data)
                    self.group.post(self.address, one)
            case answer_call.AnswerCall():
                self.group.answers[action.call_id] = action
            case send_session.SendSession():
                self.updates.append(action.update)
                self.group.updates.append(action)
            case log_line.LogLine():
                self.lines.append(action)


class ControlGroup:
    """Control instances, their network and an operator.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    size : int
        Machines with a disk; the first three are the seeds.
    voters : int
        Number of voters that the group maintains.
    without_disk : sequence of int
        Positions of the machines that have no disk.
    """

    def __init__(self, seed, size=3, voters=3, without_disk=()):
        self.random = random.Random(seed)
        self.now, self.queue, self.order = 0.0, [], itertools.count()
        self.tick_at = STEP
        self.voters = voters
        self.incarnations = itertools.count(1000)
        self.calls = itertools.count(1)
        self.answers = {}
        self.updates = []
        self.acked_version = None
        self.acked_zones = {}
        names = [f"10.0.0.{i + 1}:7000" for i in range(size)]
        self.seeds = names[:3]
        founders = tuple(member.Member(n, 1, n) for n in self.seeds)
        self.instances = {
            n: Instance(
                self, n, founders if n in self.seeds else (), i not in without_disk
            )
            for i, n in enumerate(names)
        }
        self.blocked_links = set()
        for instance in self.instances.values():
            instance.start()

    def post(self, source, action):
        """Queue a message, unless a partition separates the two instances."""
        if frozenset((source, action.address)) in self.blocked_links:
            return
        at = self.now + self.random.uniform(*DELAY)
        entry = (at, next(self.order), action.address, action.data)
        heapq.heappush(self.queue, entry)

    def run(self, seconds):
        """Advance the simulated time."""
        until = self.now + seconds
        while self.now < until:
            step_ends_at = min(until, self.tick_at)
            while self.queue and self.queue[0][0] <= step_ends_at:
                self.now, _, target, data = heapq.heappop(self.queue)
                message = cluster_codec.decode(data)
                if target in self.instances:
                    self.instances[target].handle(_event(message))
            self.now = step_ends_at
            if self.now >= self.tick_at:
                self.tick_at = self.now + STEP
                for instance in list(self.instances.values()):
                    instance.handle(tick.Tick())

    def leader(self):
        """Return the leader with the highest term, None if there is none."""
        leading = [
            i
            for i in self.instances.values()
            if i.core is not None and i.core.raft.role is role.Role.LEADER
        ]
        return max(leading, key=lambda i: i.core.raft.term, default=None)

    def call(self, target, event_type, *args):
        """Call an instance and return its answer, None if there is none."""
        call_id = next(self.calls)
        self.instances[target].handle(event_type(call_id, *args))
        for _ in range(30):
            if call_id in self.answers or self.instances[target].core is None:
                break
            self.run(STEP)
        return self.answers.pop(call_id, None)

    def change_until_acked(self, command, seconds=6.0):
        """Send a change to all instances in turn until one acknowledges it."""
        until = self.now + seconds
        while self.now < until:
            for name in list(self.instances):
                answer = self.call(name, change_requested.ChangeRequested, command)
                if answer is not None and answer.status is call_status.CallStatus.DONE:
                    self.record_ack(command)
                    return True
            self.run(0.1)
        return False

    def record_ack(self, command):
        """Record an acknowledged change."""
        if isinstance(command, set_zone.SetZone):
            self.acked_zones[command.name] = command.is_out
        else:
            known = self.acked_version
            self.acked_version = max(
                command.version if known is None else known, command.version
            )

    def replace(self, version, port=8080, kind="idempotent"):
        """Return a change that replaces the configuration."""
        document = cluster_state.compress(make_document(version, port, kind))
        return set_configuration.SetConfiguration(version, document)

    def read(self, target):
        """Return the version that an instance reads, None if it does not answer."""
        answer = self.call(target, read_requested.ReadRequested)
        if answer is None or answer.status is not call_status.CallStatus.DONE:
            return None
        return json.loads(answer.document)["Version"]

    def check_reads(self):
        """Check that no instance reads a version older than the newest acknowledged."""
        for name, instance in list(self.instances.items()):
            if instance.core is None:
                continue
            acked = self.acked_version
            version = self.read(name)
            is_current = version is None or acked is None or version >= acked
            assert is_current, (name, version, acked)

    def check_final_state(self):
        """Check that all acknowledged changes are in force."""
        for _ in range(100):
            leader = self.leader()
            if leader is not None and self.read(leader.address) is not None:
                break
            self.run(0.1)
        assert self.leader() is not None, "no leader at the end"
        self.check_reads()
        state = self.leader().core.state
        if self.acked_version is not None:
            assert state.version is not None
            assert state.version >= self.acked_version
        for zone, is_out in self.acked_zones.items():
            assert (zone in state.zones_out) is is_out, zone
