"""Connection of an entry or agent to the control instances and other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from limpetreel.catalog import outgoing, peer, table, table_sync
from limpetreel.node import send_frame
from limpetreel.serving import serving_right
from limpetreel.wire import address, kind, message_codec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from limpetreel.catalog import member_record, node_identity


class NodeLink:
    """Holds table and serving right and exchanges messages to keep them up to date.

    Parameters
    ----------
    ident : NodeIdentity
        Identity of the node.
    control : sequence of Address
        Addresses of the control instances.
    seed : int
        Seed of jitter and random choices.
    """

    def __init__(
        self,
        ident: node_identity.NodeIdentity,
        control: Sequence[address.Address],
        seed: int,
    ) -> None:
        self.identity = ident
        self.node_id = xxhash.xxh64_intdigest(ident.name.encode())
        self.table = table.Table()
        self.right = serving_right.ServingRight(ident.zone, ident.region)
        self._sync = table_sync.TableSync(ident, control, self.table, self.right, seed)

    @property
    def is_superseded(self) -> bool:
        """Whether a newer process has taken this node's name."""
        return self._sync.is_superseded

    @property
    def change_marker(self) -> tuple[object, ...]:
        """Value that changes with the table, the lease or the synchronization state."""
        return self.table.revision, self.right.lease_until, self._sync.change_marker

    @property
    def is_draining(self) -> bool:
        """Whether the node is draining before it leaves."""
        return self._sync.is_draining

    @property
    def own_record(self) -> member_record.MemberRecord | None:
        """Record of this incarnation in the table, or None before it has joined."""
        record = self.table.member(self.identity.name)
        if record is None or record.incarnation != self.identity.incarnation:
            return None
        return record

    def report_capacity(self, capacity: int) -> None:
        """Set the capacity reported in renewals, in requests per minute."""
        self._sync.capacity = capacity

    def drain(self) -> None:
        """Report in all further renewals that the node is draining."""
        self._sync.is_draining = True

    def leave(self, now: float) -> list[send_frame.SendFrame]:
        """Return the final renewal, which announces that the node leaves."""
        self._sync.is_leaving = True
        return _frames(self._sync.renew_now(now))

    def tick(self, now: float) -> list[send_frame.SendFrame]:
        """Return the renewals, probes and retransmitted requests that are due."""
        return _frames(self._sync.tick(now))

    def receive(
        self,
        now: float,
        source: address.Address,
        incarnation: int,
        message: message_codec.Message,
    ) -> list[send_frame.SendFrame]:
        """Handle a message of the control protocol.

        Parameters
        ----------
        now : float
            Time in seconds.
        source : Address
            Address that the frame came from.
        incarnation : int
            Incarnation of the sender.
        message : Message
            The message.
        """
        sender = peer.Peer(source, incarnation)
        return _frames(self._sync.receive(now, sender, message))

    def handle_peer_state(
        self,
        now: float,
        source: address.Address,
        incarnation: int,
        lease_ms: int,
        revision: int,
    ) -> list[send_frame.SendFrame]:
        """Handle the lease and table revision in a packet of another node.

        The lease is adopted unless the other node has a newer table, in which case
        the missing changes are requested.

        Parameters
        ----------
        now : float
            Time in seconds.
        source : Address
            Address that the packet came from.
        incarnation : int
            Incarnation of the sender.
        lease_ms : int
            Remaining lease of the sender in milliseconds.
        revision : int
            Table revision of the sender.
        """
        sender = peer.Peer(source, incarnation)
        return _frames(self._sync.adopt_lease(now, sender, lease_ms, revision))


def _frames(messages: list[outgoing.Outgoing]) -> list[send_frame.SendFrame]:
    return [
        send_frame.SendFrame(
            outgoing_message.to.address,
            outgoing_message.to.incarnation,
            kind.Kind.MESSAGE,
            message_codec.encode(outgoing_message.message),
        )
        for outgoing_message in messages
    ]
