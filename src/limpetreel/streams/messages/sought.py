"""Flow whose owner an entry searches for."""

from __future__ import annotations

import msgspec


class Sought(msgspec.Struct, frozen=True, array_like=True):
    """What an agent needs to know to recognise one of its flows.

    Attributes
    ----------
    flow : bytes
        Key of the flow.
    ack : int or None
        Number that the caller acknowledges; None in a packet without one.
    """

    flow: bytes
    ack: int | None
