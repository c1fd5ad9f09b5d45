"""Update from control."""

from __future__ import annotations

import msgspec

from limpetreel.cluster import fleet_view


class FleetChanged(msgspec.Struct, frozen=True, tag="fleet_changed"):
    """The state of the fleet, or what is known of its age, has changed.

    Attributes
    ----------
    view : FleetView
        Current state as published by control.
    complete_until : float
        Monotonic time in seconds; the list names all agents that had flows by then.
    """

    view: fleet_view.FleetView
    complete_until: float = float("-inf")
