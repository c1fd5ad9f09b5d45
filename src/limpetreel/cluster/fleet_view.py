"""State that an entry or agent receives from control."""

from __future__ import annotations

import msgspec

from limpetreel.cluster import upstream_record
from limpetreel.configuration import configuration as configurations


class FleetView(msgspec.Struct, frozen=True):
    """State of the fleet at one revision.

    Attributes
    ----------
    revision : int
        Index of the last log entry that the view includes.
    configuration : Configuration or None
        The configuration in force; None before the first one.
    zones_out : frozenset of str
        Data centres that take no new flows.
    upstreams : tuple of UpstreamRecord
        Known upstreams.
    is_list_current : bool
        Whether a control instance with a lease has sent the list, and it names every
        upstream that has flows; see `list_clock`.
    """

    revision: int = 0
    configuration: configurations.Configuration | None = None
    zones_out: frozenset[str] = frozenset()
    upstreams: tuple[upstream_record.UpstreamRecord, ...] = ()
    is_list_current: bool = False
