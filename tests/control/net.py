"""Control instances and nodes that exchange datagrams without a network."""

from __future__ import annotations

import msgspec

from limpetreel.catalog import (
    catalog,
    node_identity,
    outgoing,
    peer,
    role,
    table,
    table_sync,
)
from limpetreel.control import node_service
from limpetreel.messages import delta_request, renew
from limpetreel.serving import serving_right
from limpetreel.wire import address, message_codec
from tests.catalog import builders

NEVER = float("-inf")


class CheckedRight(serving_right.ServingRight):
    """Serving right that fails on a lease for a revision not yet reached.

    Each lease has a distinct length, which maps to the revision at its grant.
    """

    def __init__(self, zone, region, records, granted_at):
        super().__init__(zone, region)
        self.records = records
        self.granted_at = granted_at
        self.lease_lengths = []
        self.contacts = []

    def renew(self, sent_at, lease_ms):
        assert self.granted_at.get(lease_ms, 0) <= self.records.revision
        self.lease_lengths.append(lease_ms)
        super().renew(sent_at, lease_ms)

    def record_zone_contact(self, probe_sent_at, zone):
        self.contacts.append((self.records.revision, zone))
        super().record_zone_contact(probe_sent_at, zone)


class Net:
    """Log, control instances that may be behind it, nodes and datagrams."""

    def __init__(self, controls=2, log=None, tick=0.1):
        self.log = log or builders.new_log()
        self.now = 10.0
        self.step = tick
        self.queue = []
        self.nodes = {}
        self.granted_at = {}
        self.applied = [0] * controls
        self.catalogs = [catalog.Catalog() for _ in range(controls)]
        self.services = [
            node_service.NodeService(self.now, c.table) for c in self.catalogs
        ]
        self.unresponsive = set()
        self.sent_bytes = {}
        for number in range(controls):
            self.follow(number)

    def follow(self, number, count=None):
        """Apply the log, or the next entries of it, at a control instance."""
        end = len(self.log.entries)
        end = end if count is None else min(end, self.applied[number] + count)
        for index in range(self.applied[number] + 1, end + 1):
            self.catalogs[number].apply(index, self.log.entries[index - 1])
        self.applied[number] = end

    def add(self, name, class_name="", zone="a", incarnation=1):
        """Start a node with an empty table."""
        port = 7000 + sum(name.encode())
        identity = node_identity.NodeIdentity(
            name=name,
            role=role.Role.AGENT if class_name else role.Role.ENTRY,
            class_name=class_name,
            zone=zone,
            region="r",
            host="127.0.0.1",
            port=port,
            incarnation=incarnation,
        )
        records = table.Table()
        right = CheckedRight(zone, "r", records, self.granted_at)
        node = table_sync.TableSync(
            identity,
            [_control(n) for n in range(len(self.services))],
            records,
            right,
            seed=builders.SEED,
        )
        node.address = address.from_socket(("127.0.0.1", port))
        node.table, node.right, node.highest = records, right, 0
        self.nodes[name] = node
        return node

    def tick(self):
        """Advance the time by one step; nodes send what is due."""
        self.now += self.step
        for node in self.nodes.values():
            self._send(node.address, node.tick(self.now))

    def deliver(self, number=0, keep=False):
        """Deliver one queued datagram."""
        source, datagram = self.queue[number] if keep else self.queue.pop(number)
        message = message_codec.decode(message_codec.encode(datagram.message))
        assert len(message_codec.encode(message)) <= 1200
        port = datagram.to.address.port
        if port <= len(self.services):
            if port - 1 not in self.unresponsive:
                self._serve(port - 1, source, message)
            return
        for node in self.nodes.values():
            if node.address == datagram.to.address:
                before = node.table.revision
                sent = node.receive(self.now, peer.Peer(source, 1), message)
                assert node.table.revision >= before
                self._send(node.address, sent)

    def run(self, seconds):
        """Advance the time without loss."""
        for _ in range(round(seconds / self.step)):
            self.tick()
            while self.queue:
                self.deliver()

    def _serve(self, number, source, message):
        service = self.services[number]
        if isinstance(message, renew.Renew):
            lease_ms = 1 + len(self.granted_at) % 2000
            self.granted_at[lease_ms] = self.catalogs[number].table.revision
            sent = [service.renewed(message, lease_ms)]
        elif isinstance(message, delta_request.DeltaRequest):
            sent = service.delta_requested(self.now, source.port, message)
        else:
            sent = []
        for reply in sent:
            size = len(message_codec.encode(reply)) + 42
            self.sent_bytes[source] = self.sent_bytes.get(source, 0) + size
        to = peer.Peer(source, 1)
        self._send(_control(number), [outgoing.Outgoing(to, m) for m in sent])

    def _send(self, source, datagrams):
        for datagram in datagrams:
            assert msgspec.structs.asdict(datagram)
            self.queue.append((source, datagram))


def _control(number):
    return address.from_socket(("127.0.0.1", number + 1))


def rebuilt_digest(records, scope):
    """Return the digest of a table that is built anew from the live records."""
    fresh = table.Table()
    live = [r for r in records.changed_after(-1, scope) if not r.removed]
    fresh.replace(live, records.revision, 0)
    return fresh.digest
