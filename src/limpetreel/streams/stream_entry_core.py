"""Decisions of an entry about flows with a handshake."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from limpetreel.cluster import fleet_view
from limpetreel.core import core, failure
from limpetreel.node import tick
from limpetreel.streams import (
    known_owner,
    owner_search,
    route_table,
    stream_key,
)
from limpetreel.streams.actions import (
    log_line,
    send_caller,
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
from limpetreel.streams.placement import candidates, flow_placement, known_services

if TYPE_CHECKING:
    import msgspec

    from limpetreel.streams import segment, segment_codec

    Actions = list[msgspec.Struct]
    Address = tuple[str, int]
    Fields = dict[str, str | int | float]

SWEEP_SECONDS = 1.0
DEFAULT_IDLE_SECONDS = 15.0
MAX_NAMES_LOGGED = 5
MAX_FLOWS = 200_000
"""Bounds the memory for flow owners."""


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
    """

    def __init__(
        self, codec: segment_codec.SegmentCodec, data_centre: str, seed: int
    ) -> None:
        self._codec = codec
        source = random.Random(seed)
        self._view = fleet_view.FleetView()
        self._routes: route_table.RouteTable | None = None
        self._candidates = candidates.Candidates(data_centre, source)
        self._owners: dict[bytes, known_owner.KnownOwner] = {}
        self._services = known_services.KnownServices(self._candidates)
        self._placement = flow_placement.FlowPlacement(
            codec,
            self._candidates,
            self._services,
            source.getrandbits(31),
            self._record_owner,
        )
        self._search = owner_search.OwnerSearch(self._candidates)
        self._swept_at = 0.0
        self.outcomes = self._placement.outcomes
        self.refusals = self._placement.lines.refusals
        self.dropped: dict[str, int] = {}

    @property
    def is_ready(self) -> bool:
        """Return whether upstreams of the services in the configuration are known."""
        return self._services.is_ready

    @property
    def needs_tick_soon(self) -> bool:
        """Return whether an offer or a search is pending."""
        return bool(len(self._placement) or len(self._search))

    @property
    def open_flows(self) -> int:
        """Return the number of flows whose owner is known."""
        return len(self._owners)

    def handle(self, now: float, event: msgspec.Struct) -> list[msgspec.Struct]:
        """Handle one event; see `core.Core.handle`."""
        if isinstance(event, caller_packet.CallerPacket):
            return self._from_caller(now, event.data)
        if isinstance(event, node_datagram.NodeDatagram):
            return self._from_node(now, event)
        if isinstance(event, tick.Tick):
            return self._tick(now)
        if isinstance(event, fleet_changed.FleetChanged):
            return self._change_view(now, event.view)
        raise TypeError(type(event))

    def _change_view(self, now: float, view: fleet_view.FleetView) -> Actions:
        version = self._routes.version if self._routes is not None else 0
        self._view = view
        self._candidates.update(view.upstreams, view.zones_out)
        is_new = view.configuration is not None and view.configuration.version > version
        if view.configuration is not None and is_new:
            self._routes = route_table.RouteTable(view.configuration)
            self._placement.configure(self._routes)
        self._services.update(now, view, is_new)
        return []

    def _from_caller(self, now: float, data: bytes) -> Actions:
        segment = self._codec.from_caller(data)
        if isinstance(segment, failure.Failure):
            return self._drop(str(segment.reason))
        if segment.is_open:
            return self._open(now, segment)
        if segment.is_open_reply:
            return self._drop("forged handshake")
        owner = self._owners.get(segment.flow)
        if owner is None:
            return self._find_owner(now, segment)
        owner.last_at = now
        message = stream_codec.encode(carry.Carry(data))
        return [send_node.SendNode(owner.address, message)]

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
        return self._search.add(now, segment, services)

    def _record_owner(self, now: float, flow: bytes, address: Address) -> None:
        if len(self._owners) >= MAX_FLOWS:
            self._owners.pop(next(iter(self._owners)))
        self._owners[flow] = known_owner.KnownOwner(address, now)

    def _from_node(self, now: float, event: node_datagram.NodeDatagram) -> Actions:
        message = stream_codec.decode(event.data)
        source = (event.host, event.port)
        if isinstance(message, verdict.Verdict):
            return self._placement.handle_verdict(now, source, message)
        if isinstance(message, holdings.Holdings):
            if any(len(key) != stream_key.SIZE for key in message.owned):
                return self._drop("malformed key")
            return self._record_holdings(now, source, message)
        if isinstance(message, not_owned.NotOwned):
            return self._handle_not_owned(now, source, message.packet)
        if isinstance(message, failure.Failure):
            return self._drop(str(message.reason))
        return self._drop("message for an agent")

    def _record_holdings(
        self, now: float, source: Address, message: holdings.Holdings
    ) -> Actions:
        actions: Actions = []
        for flow in message.owned:
            self._record_owner(now, flow, source)
            name = self._candidates.name_at(source)
            fields: Fields = {"flow": stream_key.text(flow), "agent": name}
            actions.append(log_line.LogLine("info", "flow.located", fields))
        return actions + self._search.record_holdings(now, source, message)

    def _reset_ended(self, now: float) -> Actions:
        """Reset flows that no upstream holds, so that their callers open new ones."""
        actions: Actions = []
        for latest in self._search.take_ended(now, self._view.is_list_current):
            self.outcomes["ENDED"] = self.outcomes.get("ENDED", 0) + 1
            host = stream_key.caller(latest.flow)[0]
            fields: Fields = {
                "flow": stream_key.text(latest.flow),
                "upstreams": len(self._view.upstreams),
                "revision": self._view.revision,
            }
            packet = self._codec.reset(latest.flow, latest.ack)
            actions.append(send_caller.SendCaller(host, packet))
            actions.append(log_line.LogLine("info", "flow.ended", fields))
        return actions

    def _handle_not_owned(self, now: float, source: Address, packet: bytes) -> Actions:
        segment = self._codec.from_caller(packet)
        if isinstance(segment, failure.Failure):
            return self._drop(str(segment.reason))
        owner = self._owners.get(segment.flow)
        if owner is not None and owner.address == source:
            del self._owners[segment.flow]
        return self._find_owner(now, segment)

    # Placement of new flows

    def _open(self, now: float, segment: segment.Segment) -> Actions:
        if self._routes is None:
            return self._drop("no configuration")
        owner = self._owners.get(segment.flow)
        name = self._candidates.name_at(owner.address) if owner is not None else ""
        return self._placement.open(now, segment, name)

    def _tick(self, now: float) -> Actions:
        self._services.tick(now)
        actions = self._placement.tick(now)
        if now - self._swept_at >= SWEEP_SECONDS:
            self._sweep(now)
        return actions + self._reset_ended(now) + self._continue_searches(now)

    def _continue_searches(self, now: float) -> Actions:
        expired, actions = self._search.tick(now)
        for flow in expired:
            silent = [self._candidates.name_at(a) for a in sorted(flow.remaining)]
            fields: Fields = {
                "flow": stream_key.text(flow.flow),
                "silent": ",".join(silent[:MAX_NAMES_LOGGED]),
                "unanswered": len(silent),
            }
            actions.append(log_line.LogLine("warning", "flow.not_located", fields))
        return actions

    def _sweep(self, now: float) -> None:
        self._swept_at = now
        idle = DEFAULT_IDLE_SECONDS
        if self._routes is not None:
            idle = self._routes.idle_seconds
        idle_flows = [k for k, o in self._owners.items() if now - o.last_at > idle]
        for key in idle_flows:
            del self._owners[key]
