"""Routing of answers back to callers."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from limpetreel.catalog import member_state, role, table
from limpetreel.node import send_frame
from limpetreel.wire import address, frame, kind, packet

if TYPE_CHECKING:
    from limpetreel.flows import flow_key

MAX_FLOWS = 32_768


class ReturnPath:
    """Records the entry that forwarded the last packet of each flow.

    Parameters
    ----------
    node_table : Table
        Table of the node, used to pick another entry if the recorded one has left.
    """

    def __init__(self, node_table: table.Table) -> None:
        self._table = node_table
        self._last_packets: collections.OrderedDict[flow_key.FlowKey, packet.Packet] = (
            collections.OrderedDict()
        )
        self._revision = -1
        self._entries: dict[address.Address, int] = {}

    def record(self, flow: flow_key.FlowKey, received: packet.Packet) -> None:
        """Record a packet of a flow, without its datagram, as the latest one."""
        self._last_packets[flow] = msgspec.structs.replace(received, datagram=b"")
        self._last_packets.move_to_end(flow)
        if len(self._last_packets) > MAX_FLOWS:
            self._last_packets.popitem(last=False)

    def last_packet(self, flow: flow_key.FlowKey) -> packet.Packet | None:
        """Return the latest packet of a flow without its datagram, or None."""
        return self._last_packets.get(flow)

    def send(
        self, received: packet.Packet, datagram: bytes, lease_ms: int
    ) -> send_frame.SendFrame:
        """Return the action that sends an answer to the entry of its caller.

        Parameters
        ----------
        received : Packet
            Packet that the answer belongs to.
        datagram : bytes
            The answer.
        lease_ms : int
            Remaining lease of this node in milliseconds.
        """
        self._refresh()
        entry = received.entry
        if self._entries and entry not in self._entries:
            # The entry has left. Any other entry can reach the caller as well.
            index = received.caller.port % len(self._entries)
            entry = sorted(self._entries, key=str)[index]
        body = packet.encode(
            msgspec.structs.replace(
                received,
                datagram=datagram,
                lease_ms=lease_ms,
                revision=self._table.revision,
            )
        )
        target = self._entries.get(entry, frame.ANY_INCARNATION)
        return send_frame.SendFrame(entry, target, kind.Kind.RETURN, body)

    def _refresh(self) -> None:
        if self._revision == self._table.revision:
            return
        self._revision = self._table.revision
        self._entries = {
            address.from_socket((m.host, m.port)): m.incarnation
            for m in self._table.members()
            if m.role is role.Role.ENTRY
            and m.state is not member_state.MemberState.LOST
            and self._table.is_zone_serving(m.zone)
        }
