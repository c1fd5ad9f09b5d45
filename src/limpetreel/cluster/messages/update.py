"""Update for an entry or agent."""

from __future__ import annotations

import msgspec

from limpetreel.cluster import upstream_record
from limpetreel.configuration import configuration as configurations


class Update(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Changes since the last update on the same connection.

    Attributes
    ----------
    revision : int
        Index of the last log entry that the state includes.
    lease_ms : int
        Remaining lease of the control instance on the state; 0 if it has no contact
        with a quorum.
    configuration : Configuration or None
        The configuration, if it has changed.
    zones_out : tuple of str
        Data centres that take no new flows.
    is_full : bool
        Whether `upstreams` lists all upstreams, not only the changed ones.
    upstreams : tuple of UpstreamRecord
        New and changed upstreams.
    removed : tuple of str
        Names of agents that were removed.
    controls : tuple of str
        Addresses of all control instances.
    is_complete : bool or None
        Whether the instance has heard all agents that are registered; None if it does
        not know which agents there are.
    answered : int
        Number of the last `Alive` that has arrived on the connection, 0 for none.
    state_age_ms : int
        Time by which the state may be older than the update, with a lease.
    """

    revision: int
    lease_ms: int
    configuration: configurations.Configuration | None
    zones_out: tuple[str, ...]
    is_full: bool
    upstreams: tuple[upstream_record.UpstreamRecord, ...]
    removed: tuple[str, ...]
    controls: tuple[str, ...]
    is_complete: bool | None = None
    answered: int = 0
    state_age_ms: int = 0
