"""Heartbeat of a node without an upstream."""

from __future__ import annotations

import msgspec


class Alive(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Sent by an entry to its control instance, which drops idle connections.

    Attributes
    ----------
    revision : int
        Revision that the node has.
    number : int
        Number of the message, which the next update repeats; 0 for none.
    """

    revision: int
    number: int = 0
