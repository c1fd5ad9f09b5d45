"""Probe of another zone."""

from __future__ import annotations

import msgspec


class Probe(msgspec.Struct, frozen=True, tag="probe"):
    """Asks a node of another zone to answer, as zone evidence.

    Attributes
    ----------
    nonce : int
        Echoed in the answer.
    zone : str
        Zone of the sender.
    """

    nonce: int
    zone: str
