"""Read by an operator."""

from __future__ import annotations

import msgspec


class ReadRequested(msgspec.Struct, frozen=True, tag="read_requested"):
    """An operator has requested the configuration.

    Attributes
    ----------
    call_id : int
        Number of the call, for the answer.
    """

    call_id: int
