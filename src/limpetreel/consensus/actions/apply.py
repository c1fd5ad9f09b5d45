"""Application of a committed entry."""

from __future__ import annotations

import msgspec


class Apply(msgspec.Struct, frozen=True, tag="apply"):
    """Apply a committed entry to the state machine.

    Attributes
    ----------
    index : int
        Index of the entry; not consecutive, since no-op and membership entries are
        not applied.
    data : bytes
        The proposed bytes.
    """

    index: int
    data: bytes
