"""Answer to a read."""

from __future__ import annotations

import msgspec


class ReadResult(msgspec.Struct, frozen=True, tag="read_result"):
    """Whether the applied state may answer a read as current.

    Attributes
    ----------
    read_id : int
        The read.
    index : int
        Last entry applied.
    current : bool
        True if the state holds all that was accepted before the read; False if the
        answer has to be marked as stale.
    """

    read_id: int
    index: int
    current: bool
