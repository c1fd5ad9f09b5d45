"""Snapshot made by the state machine."""

from __future__ import annotations

import msgspec


class SnapshotAvailable(msgspec.Struct, frozen=True, tag="snapshot_available"):
    """The state machine has serialized its state.

    Attributes
    ----------
    index : int
        Index of the last entry applied to the state.
    data : bytes
        The serialized state.
    """

    index: int
    data: bytes
