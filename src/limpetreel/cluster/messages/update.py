"""News for an entry or agent."""

from __future__ import annotations

import msgspec

from limpetreel.cluster import upstream_record
from limpetreel.configuration import configuration as configurations


class Update(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """What has changed since the last update on the same connection.

    Attributes
    ----------
    revision : int
        Last entry of the log that the state includes.
    lease_ms : int
        Time for which the control instance vouches for the state; 0 if it has no
        contact with a quorum.
    configuration : Configuration or None
        The configuration, if it has changed.
    zones_out : tuple of str
        Data centres that take no new flows.
    is_full : bool
        Whether `upstreams` are all, not only those that have changed.
    upstreams : tuple of UpstreamRecord
        New and changed upstreams.
    removed : tuple of str
        Agents that are gone.
    controls : tuple of str
        Addresses of all control instances.
    """

    revision: int
    lease_ms: int
    configuration: configurations.Configuration | None
    zones_out: tuple[str, ...]
    is_full: bool
    upstreams: tuple[upstream_record.UpstreamRecord, ...]
    removed: tuple[str, ...]
    controls: tuple[str, ...]
