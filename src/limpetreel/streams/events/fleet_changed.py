"""Update from control."""

from __future__ import annotations

import msgspec

from limpetreel.cluster import fleet_view


class FleetChanged(msgspec.Struct, frozen=True, tag="fleet_changed"):
    """The configuration, the zones or the upstreams have changed.

    Attributes
    ----------
    view : FleetView
        Current state as published by control.
    """

    view: fleet_view.FleetView
