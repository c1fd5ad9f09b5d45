"""Snapshot that the state machine has made."""

from __future__ import annotations

import msgspec


class SnapshotAvailable(msgspec.Struct, frozen=True, tag="snapshot_available"):
    """The state machine has written its state.

    Attributes
    ----------
    index : int
        Last entry applied to the state.
    data : bytes
        The state.
    """

    index: int
    data: bytes
