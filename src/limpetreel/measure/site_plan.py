"""What happens in a measurement of a whole site."""

from __future__ import annotations

import msgspec


class SitePlan(msgspec.Struct, frozen=True):
    """Times of a run in seconds after the load has begun.

    Attributes
    ----------
    load : float
        Offered load over the true capacity while all zones serve.
    connections_per_upstream : int
        Connections for each upstream.
    zone_out_at, zone_in_at : float
        When operators take the last zone out and bring it back.
    entries_restart_at : float
        When the entries restart without memory, one a second.
    has_graceful_restarts : bool
        Whether the entries stop gracefully before.
    upstream_restart_at : float
        When one upstream restarts without notice to its callers, and is cold.
    drain_at : float
        When one upstream leaves gracefully.
    changes_at : float
        When table changes begin.
    changes : int
        Number of table changes, ten a second.
    end : float
        End of the load.
    """

    load: float = 0.45
    connections_per_upstream: int = 2000
    zone_out_at: float = 15.0
    zone_in_at: float = 27.0
    entries_restart_at: float = 36.0
    has_graceful_restarts: bool = True
    upstream_restart_at: float = 50.0
    drain_at: float = 42.0
    changes_at: float = 45.0
    changes: int = 100
    end: float = 60.0
