"""Report of a frame that reached the wrong agent."""

from __future__ import annotations

import msgspec


class Mismatch(msgspec.Struct, frozen=True, tag="mismatch"):
    """Informs a sender that its table is out of date for this address.

    Attributes
    ----------
    class_id : int
        Class in the frame that was dropped.
    revision : int
        Table revision of the agent.
    """

    class_id: int
    revision: int
