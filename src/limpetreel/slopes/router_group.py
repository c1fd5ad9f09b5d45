"""Flow routers of one class that exchange messages without a network."""

from __future__ import annotations

import collections
import time

import msgspec

from limpetreel.assignment import assignments, class_assignment
from limpetreel.catalog import member_record, member_state, table
from limpetreel.flows import (
    class_view,
    flow_key,
    flow_router,
    message_arrived,
    packet_arrived,
    router_message,
    send,
    table_changed,
    tick,
)
from limpetreel.slopes import sample_site
from limpetreel.wire import address, frame, message_codec, mode, packet

FRAME_BYTES = frame.HEADER.size + frame.TAG_BYTES
CLASS_ID = 1


class RouterGroup:
    """Runs the flow routers of all agents of one class.

    Parameters
    ----------
    members : int
        Number of agents.
    """

    def __init__(self, members: int) -> None:
        self.now = 0.0
        self.messages = 0
        self.bytes = 0
        self.busy_s = 0.0
        self._revision = 10_000
        self._table = table.Table()
        self._records = [sample_site.agent(i, 0) for i in range(members)]
        records = [*sample_site.zones(), *sample_site.classes(1), *self._records]
        self._table.replace(records, self._revision, self._revision)
        self._assignments = assignments.Assignments(self._table)
        self._routers = {
            r.node_id: flow_router.FlowRouter(
                CLASS_ID, _peer(r), r.region, first_start=True
            )
            for r in self._records
        }
        self._change_table()

    def add_flows(self, count: int) -> None:
        """Place flows at the primaries of their buckets."""
        for i in range(count):
            caller = address.Address(0x0A000000 + i, 40_000)
            flow = flow_key.FlowKey(CLASS_ID, caller)
            assignment = self._assignments.lookup(CLASS_ID, flow.bucket())
            assert assignment is not None
            primary = assignment.primary.node_id
            datagram = packet.encode(
                packet.Packet(
                    CLASS_ID, flow.bucket(), 0, 0, 0, 1, 0, caller, caller, bytes(40)
                )
            )
            arrived = packet_arrived.PacketArrived(
                flow, mode.Mode.FIND, 0, 1, 1, True, datagram
            )
            actions = self._routers[primary].handle(self.now, arrived)
            self._deliver(primary, actions)

    def mark_first_lost(self) -> None:
        """Mark the first agent lost, so that the others take over its buckets."""
        self._revision += 1
        record = self._records[0]
        lost = msgspec.structs.replace(
            record, state=member_state.MemberState.LOST, modified=self._revision
        )
        self._table.apply([lost], self._revision)
        del self._routers[record.node_id]
        self.messages = self.bytes = 0
        self.busy_s = 0.0
        self._change_table()

    def _change_table(self) -> None:
        record = self._table.class_by_id(CLASS_ID)
        assert record is not None
        for bucket in range(class_assignment.BUCKETS_PER_CLASS):
            self._assignments.lookup(CLASS_ID, bucket)
        view = class_view.from_table(self._table, record, self._assignments)
        for node_id, router in self._routers.items():
            started = time.process_time()
            actions = router.handle(self.now, table_changed.TableChanged(view))
            self.busy_s += time.process_time() - started
            self._deliver(node_id, actions)
        # Copies to backups are repeated until they are acknowledged.
        for _ in range(4):
            self.now += 0.02
            for node_id, router in self._routers.items():
                self._deliver(node_id, router.handle(self.now, tick.Tick()))

    def _deliver(self, source: int, actions: list[msgspec.Struct]) -> None:
        """Deliver messages until none are left, and add up their bytes and time."""
        pending = collections.deque((source, a) for a in actions)
        while pending:
            sender, action = pending.popleft()
            if not isinstance(action, send.Send):
                continue
            router = self._routers.get(action.target)
            if router is None:
                continue
            started = time.process_time()
            body = message_codec.encode(action.message)
            message = message_codec.decode(body)
            assert isinstance(message, router_message.RouterMessage)
            record = next(r for r in self._records if r.node_id == sender)
            arrived = message_arrived.MessageArrived(*_peer(record), message)
            replies = router.handle(self.now, arrived)
            self.busy_s += time.process_time() - started
            if sender != action.target:
                self.messages += 1
                self.bytes += len(body) + FRAME_BYTES
            pending.extend((action.target, a) for a in replies)


def _peer(record: member_record.MemberRecord) -> tuple[int, int]:
    return record.node_id, record.incarnation
