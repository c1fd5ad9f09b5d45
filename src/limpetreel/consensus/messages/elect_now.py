"""Request to stand for election at once."""

from __future__ import annotations

import msgspec


class ElectNow(msgspec.Struct, frozen=True, tag="elect_now"):
    """Sent by a leader that resigns to the voter that is to succeed it.

    Attributes
    ----------
    term : int
        Term of the leader that resigns.
    """

    term: int
