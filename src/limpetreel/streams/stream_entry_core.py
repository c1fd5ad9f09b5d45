"""Decisions of an entry about flows with a handshake."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from limpetreel.cluster import fleet_view
from limpetreel.core import core, failure
from limpetreel.node import tick
from limpetreel.streams import (
    route_table,
    stream_key,
)
from limpetreel.streams.actions import (
    send_node,
)
from limpetreel.streams.events import caller_packet, fleet_changed, node_datagram
from limpetreel.streams.messages import (
    carry,
    holdings,
    not_owned,
    stream_codec,
    verdict,
)
from limpetreel.streams.ownership import flow_owners
from limpetreel.streams.placement import candidates, flow_placement, known_services
from limpetreel.streams.transfers import transfer_admission, transfer_limit

if TYPE_CHECKING:
    import msgspec

    from limpetreel.streams import segment, segment_codec

    Actions = list[msgspec.Struct]
    Address = tuple[str, int]
    Fields = dict[str, str | int | float]

DEFAULT_BYTES_PER_SECOND = 125_000_000.0
DEFAULT_IDLE_SECONDS = 15.0
FIRST_NUMBER_BITS = 48
"""Size of the random number before that of the first question of a start."""


class StreamEntryCore(core.Core):
    """Finds an upstream for each new flow and forwards packets to flows' owners.

    Parameters
    ----------
    codec : SegmentCodec
        Packet format.
    data_centre : str
        Data centre of the entry.
    seed : int
        Seed of the choice among equal upstreams.
    bytes_per_second : float
        Bandwidth of the machine's link; infinite if it never binds.
    """

    def __init__(
        self,
        codec: segment_codec.SegmentCodec,
        data_centre: str,
        seed: int,
        bytes_per_second: float = DEFAULT_BYTES_PER_SECOND,
    ) -> None:
        self._codec = codec
        source = random.Random(seed)
        self._view = fleet_view.FleetView()
        self._routes: route_table.RouteTable | None = None
        self._candidates = candidates.Candidates(data_centre, source)
        first_number = random.Random(seed).getrandbits(FIRST_NUMBER_BITS)
        self._owners = flow_owners.FlowOwners(codec, data_centre, first_number)
        self._services = known_services.KnownServices(self._candidates)
        self._placement = flow_placement.FlowPlacement(
            codec,
            self._candidates,
            self._services,
            source.getrandbits(31),
            self._owners.record,
        )
        self._transfers = transfer_admission.TransferAdmission(
            self._placement, transfer_limit.TransferLimit(bytes_per_second)
        )
        self.outcomes = self._placement.outcomes
        self.refusals = self._placement.lines.refusals
        self.dropped: dict[str, int] = {}

    @property
    def is_ready(self) -> bool:
        """Return whether upstreams of the services in the configuration are known."""
        return self._services.is_ready

    @property
    def needs_tick_soon(self) -> bool:
        """Return whether an offer, a search or an opening is pending."""
        pending = len(self._placement) or self._owners.is_searching
        return bool(pending or len(self._transfers))

    @property
    def awaits_list(self) -> bool:
        """Return whether a search needs a later list of upstreams."""
        return self._owners.awaits_list

    @property
    def open_flows(self) -> int:
        """Return the number of flows whose owner is known."""
        return len(self._owners)

    @property
    def searches(self) -> dict[str, int]:
        """Return the number of searches for owners by result."""
        return self._owners.searches

    @property
    def probes(self) -> int:
        """Return how many packets were sent to agents that are unsure of a flow."""
        return self._owners.probes

    def handle(self, now: float, event: msgspec.Struct) -> list[msgspec.Struct]:
        """Handle one event; see `core.Core.handle`."""
        if isinstance(event, caller_packet.CallerPacket):
            return self._from_caller(now, event.data)
        if isinstance(event, node_datagram.NodeDatagram):
            return self._from_node(now, event)
        if isinstance(event, tick.Tick):
            return self._tick(now)
        if isinstance(event, fleet_changed.FleetChanged):
            if event.view is not self._view:
                self._change_view(now, event.view)
            return self._owners.confirm_list(now, event.complete_until)
        raise TypeError(type(event))

    def _change_view(self, now: float, view: fleet_view.FleetView) -> None:
        self._view = view
        self._candidates.update(view.upstreams, view.zones_out)
        self._owners.change_view(view)
        newer = route_table.newer(view.configuration, self._routes)
        if newer is not None:
            self._routes = newer
            self._placement.configure(newer)
        self._services.update(now, view, newer is not None)

    def _from_caller(self, now: float, data: bytes) -> Actions:
        segment = self._codec.from_caller(data)
        if isinstance(segment, failure.Failure):
            return self._drop(str(segment.reason))
        if segment.is_open:
            return self._open(now, segment)
        if segment.is_open_reply:
            return self._drop("forged handshake")
        actions: Actions = []
        if segment.size:
            actions = self._transfers.record_data(now, segment.flow, segment.size)
        owner = self._owners.get(segment.flow)
        if owner is None:
            self._placement.record_caller_packet(segment)
            return actions + self._find_owner(now, segment)
        owner.last_at = now
        message = stream_codec.encode(carry.Carry(data))
        return [*actions, send_node.SendNode(owner.address, message)]

    def _drop(self, reason: str) -> Actions:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1
        return []

    # Owners of open flows

    def _find_owner(self, now: float, segment: segment.Segment) -> Actions:
        """Ask all upstreams that the route allows for the owner of a flow."""
        matched_route = (
            self._routes.find(segment.flow) if self._routes is not None else None
        )
        if matched_route is None:
            return self._drop("no route")
        services = tuple(s.name for s in matched_route.services)
        return self._owners.search(now, segment, services)

    def _record_owner(self, now: float, flow: bytes, address: Address) -> None:
        self._owners.record(now, flow, address)

    def _from_node(self, now: float, event: node_datagram.NodeDatagram) -> Actions:
        message = stream_codec.decode(event.data)
        source = (event.host, event.port)
        if isinstance(message, verdict.Verdict):
            return self._placement.handle_verdict(now, source, message)
        if isinstance(message, holdings.Holdings):
            if any(len(key) != stream_key.SIZE for key in message.owned):
                return self._drop("malformed key")
            return self._owners.record_holdings(now, source, message)
        if isinstance(message, not_owned.NotOwned):
            return self._handle_not_owned(now, source, message.packet)
        if isinstance(message, failure.Failure):
            return self._drop(str(message.reason))
        return self._drop("message for an agent")

    def _handle_not_owned(self, now: float, source: Address, packet: bytes) -> Actions:
        segment = self._codec.from_caller(packet)
        if isinstance(segment, failure.Failure):
            return self._drop(str(segment.reason))
        self._owners.forget(segment.flow, source)
        return self._find_owner(now, segment)

    # Placement of new flows

    def _open(self, now: float, segment: segment.Segment) -> Actions:
        if self._routes is None:
            return self._drop("no configuration")
        owner = self._owners.get(segment.flow)
        name = self._candidates.name_at(owner.address) if owner is not None else ""
        return self._transfers.open(now, segment, name)

    def _tick(self, now: float) -> Actions:
        self._services.tick(now)
        actions = self._transfers.tick(now) + self._placement.tick(now)
        idle = self._routes.idle_seconds if self._routes else DEFAULT_IDLE_SECONDS
        self._owners.sweep(now, idle)
        return actions + self._owners.tick(now)
