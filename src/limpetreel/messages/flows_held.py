"""Refresh of directory entries."""

from __future__ import annotations

import msgspec

from limpetreel.messages import held_flow


class FlowsHeld(msgspec.Struct, frozen=True, tag="flows_held"):
    """Sent by an owner to the holder of the buckets of its flows.

    Attributes
    ----------
    class_id : int
        Number of the class.
    flows : tuple[held_flow.HeldFlow, ...]
        Flows that the sender owns.
    """

    class_id: int
    flows: tuple[held_flow.HeldFlow, ...]
