"""Planned events of a run of a simulated site."""

from __future__ import annotations

import msgspec


class SitePlan(msgspec.Struct, frozen=True):
    """Load and planned events; times are in seconds after the start of the load.

    Attributes
    ----------
    load : float
        Offered load over the true capacity while all zones serve.
    connections_per_upstream : int
        Number of connections per upstream.
    zone_out_at, zone_in_at : float
        When an operator takes the last zone out of service and back in.
    entries_restart_at : float
        When the entries restart with no state kept, one per second.
    has_graceful_restarts : bool
        Whether the entries leave gracefully before they restart.
    upstream_restart_at : float
        When one upstream restarts cold, without notice to its callers.
    drain_at : float
        When one upstream leaves gracefully.
    changes_at : float
        When the table changes begin.
    changes : int
        Number of table changes, ten per second.
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
