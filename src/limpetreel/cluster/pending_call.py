"""Operator's call that waits for its outcome."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.cluster import cluster_state


@dataclasses.dataclass
class PendingCall:
    """State of one call.

    Attributes
    ----------
    call_id : int
        Number of the call.
    command : SetConfiguration, SetZone or None
        The change; None for a read.
    expires_at : float
        When it is answered as unavailable.
    number : int
        Number under which the replicated log knows it; 0 while no instance leads.
    """

    call_id: int
    command: cluster_state.Command | None
    expires_at: float
    number: int = 0
