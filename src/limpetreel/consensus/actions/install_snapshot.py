"""Replacement of the state by a snapshot."""

from __future__ import annotations

import msgspec


class InstallSnapshot(msgspec.Struct, frozen=True, tag="install_snapshot"):
    """Replace the state of the state machine by a snapshot from the leader.

    Attributes
    ----------
    index : int
        Index of the last entry that the state includes.
    data : bytes
        The serialized state.
    """

    index: int
    data: bytes
