"""Packet that was sent to an upstream to learn whether it holds the flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.streams import segment

    Address = tuple[str, int]
    Held = tuple[Address, segment.Segment]

MAX_SOURCES = 8
"""Entries that are told the result; a router gives a flow to one entry at a time."""
MAX_HELD = 16
"""Packets that a caller sends without an acknowledgement."""


class ProbedPacket:
    """Packet of a caller on a flow that the agent does not know, and its result.

    Its attribute `is_returned` tells whether the upstream has returned the packet, and
    so does not hold the flow. Entries that name the agent as the owner send packets on:
    `carrier` sent this one, and `held` has later ones with their sources until the
    upstream has had time to return this one.

    Parameters
    ----------
    now : float
        Time in seconds at which the packet was sent.
    segment : Segment
        The packet.
    """

    __slots__ = ("carrier", "held", "is_returned", "segment", "sent_at", "sources")

    def __init__(self, now: float, segment: segment.Segment) -> None:
        self.sent_at = now
        self.segment = segment
        self.is_returned = False
        self.sources: list[Address] = []
        self.carrier: Address | None = None
        self.held: list[Held] = []

    def add_source(self, source: Address) -> None:
        """Add an entry that awaits the result."""
        if source not in self.sources and len(self.sources) < MAX_SOURCES:
            self.sources.append(source)

    def hold(self, source: Address, segment: segment.Segment) -> None:
        """Hold another packet; a caller retransmits what exceeds the bound."""
        if len(self.held) < MAX_HELD:
            self.held.append((source, segment))

    def take_held(self) -> list[Held]:
        """Remove and return the packets that are held, with their sources."""
        held, self.held = self.held, []
        return held
