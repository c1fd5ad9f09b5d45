"""Result of a read request."""

from __future__ import annotations

import msgspec


class ReadResult(msgspec.Struct, frozen=True, tag="read_result"):
    """Whether the applied state is current enough to answer a read.

    Attributes
    ----------
    read_id : int
        Identifier from the request.
    index : int
        Index of the last applied entry.
    current : bool
        True if the state includes every entry committed before the read; False if
        the answer has to be marked as stale.
    """

    read_id: int
    index: int
    current: bool
