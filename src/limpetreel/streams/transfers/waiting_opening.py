"""Opening packet that waits for room on the link of an entry."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.streams import segment


@dataclasses.dataclass(frozen=True)
class WaitingOpening:
    """Opening packet of a flow that will carry a large request.

    Attributes
    ----------
    arrived_at : float
        Time in seconds at which the packet arrived.
    expires_at : float
        Time in seconds at which the flow is refused.
    segment : Segment
        The packet.
    """

    arrived_at: float
    expires_at: float
    segment: segment.Segment
