"""Departure of the upstream."""

from __future__ import annotations

import msgspec


class UpstreamDeparted(msgspec.Struct, frozen=True, tag="upstream_departed"):
    """The upstream beside an agent has signed off.

    Attributes
    ----------
    instance_id : str
        Identifier of the start that ended.
    """

    instance_id: str
