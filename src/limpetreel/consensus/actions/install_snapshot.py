"""Replacement of the state."""

from __future__ import annotations

import msgspec


class InstallSnapshot(msgspec.Struct, frozen=True, tag="install_snapshot"):
    """Replace the state of the state machine.

    Attributes
    ----------
    index : int
        Last entry that the state includes.
    data : bytes
        The state.
    """

    index: int
    data: bytes
