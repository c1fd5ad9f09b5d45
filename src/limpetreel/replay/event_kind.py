"""Number of an event type within a file."""

from __future__ import annotations

import msgspec


class EventKind(msgspec.Struct, frozen=True, tag="kind"):
    """Precedes the first event of its type, so that events carry a number only.

    Attributes
    ----------
    number : int
        The number.
    name : str
        Module and class, separated by a colon.
    """

    number: int
    name: str
