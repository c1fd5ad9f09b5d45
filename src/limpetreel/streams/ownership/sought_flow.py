"""Flow whose owner an entry does not know."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.streams import segment

    Address = tuple[str, int]

MAX_HELD_PACKETS = 4
"""Packets that wait for the owner; a caller retransmits what is dropped."""


class SoughtFlow:
    """State of one search.

    Parameters
    ----------
    now : float
        Time in seconds.
    segment : Segment
        Packet of the flow.
    services : tuple of str
        Services whose upstreams may hold the flow.
    """

    __slots__ = (
        "asked_at",
        "began_at",
        "denied",
        "denied_at",
        "flow",
        "latest",
        "packets",
        "remaining",
        "services",
    )

    def __init__(
        self, now: float, segment: segment.Segment, services: tuple[str, ...]
    ) -> None:
        self.flow = segment.flow
        self.services = services
        self.began_at = now
        self.asked_at = float("-inf")
        self.denied_at: float | None = None
        self.remaining: set[Address] = set()
        self.denied: set[Address] = set()
        self.packets: collections.deque[bytes] = collections.deque(
            maxlen=MAX_HELD_PACKETS
        )
        self.add_packet(segment)

    def add_packet(self, segment: segment.Segment) -> None:
        """Hold a packet until the owner is known."""
        self.latest = segment
        self.packets.append(segment.data)
