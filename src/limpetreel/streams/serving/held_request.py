"""Request on an open flow that waits for a slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams.serving import waiting

if TYPE_CHECKING:
    from limpetreel.configuration import route
    from limpetreel.streams import owned_flow, segment

MAX_PACKETS = 64
"""Packets of one request that are held; callers have at most 16 in flight."""


class HeldRequest(waiting.Waiting):
    """Packets of a request, which are forwarded at the latest when its wait expires.

    Its attribute `size` is the number of bytes that are held.

    Parameters
    ----------
    flow : OwnedFlow
        The flow.
    route : Route
        Route of the flow.
    arrived_at, expires_at : float
        See `waiting.Waiting`.
    """

    __slots__ = ("_packets", "flow", "size")

    def __init__(
        self,
        flow: owned_flow.OwnedFlow,
        route: route.Route,
        arrived_at: float,
        expires_at: float,
    ) -> None:
        super().__init__(flow.key, route, arrived_at, expires_at)
        self.flow = flow
        self.size = 0
        self._packets: dict[int, segment.Segment] = {}

    def has_room(self, packet: segment.Segment) -> bool:
        """Return whether a packet can be held."""
        return packet.sequence in self._packets or len(self._packets) < MAX_PACKETS

    def add(self, packet: segment.Segment) -> None:
        """Hold a packet; it replaces an earlier copy."""
        earlier = self._packets.get(packet.sequence)
        self.size += len(packet.data) - (len(earlier.data) if earlier else 0)
        self._packets[packet.sequence] = packet

    def packets(self) -> list[segment.Segment]:
        """Return the packets in the order of their data."""
        start = self.flow.caller_end or 0
        return sorted(
            self._packets.values(), key=lambda p: (p.sequence - start) & 0xFFFFFFFF
        )
