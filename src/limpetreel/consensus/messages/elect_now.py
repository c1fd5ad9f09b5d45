"""Request to start an election immediately."""

from __future__ import annotations

import msgspec


class ElectNow(msgspec.Struct, frozen=True, tag="elect_now"):
    """Sent by a resigning leader to the voter that should succeed it.

    Attributes
    ----------
    term : int
        Term of the resigning leader.
    """

    term: int
