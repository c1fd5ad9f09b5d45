"""Packet that was sent to an upstream to learn whether it holds the flow."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.streams import segment


@dataclasses.dataclass(frozen=True)
class ProbedPacket:
    """Packet of a caller on a flow that the agent does not know.

    Attributes
    ----------
    sent_at : float
        Time in seconds.
    source : tuple of (str, int)
        Address of the entry that awaits the answer.
    segment : Segment
        The packet.
    """

    sent_at: float
    source: tuple[str, int]
    segment: segment.Segment
