"""Request to read the state."""

from __future__ import annotations

import msgspec


class Read(msgspec.Struct, frozen=True, tag="read"):
    """Request to confirm that the applied state is current.

    Attributes
    ----------
    read_id : int
        Chosen by the shell; returned in the result.
    """

    read_id: int
