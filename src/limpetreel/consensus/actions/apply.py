"""Committed entry for the state machine."""

from __future__ import annotations

import msgspec


class Apply(msgspec.Struct, frozen=True, tag="apply"):
    """Apply an entry to the state machine.

    Attributes
    ----------
    index : int
        Index of the entry. Entries without proposed data leave gaps.
    data : bytes
        The proposed bytes.
    """

    index: int
    data: bytes
