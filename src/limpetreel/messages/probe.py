"""Probe of another zone."""

from __future__ import annotations

import msgspec

from limpetreel.messages import short_names


class Probe(msgspec.Struct, frozen=True, tag="probe", rename=short_names.SHORT_NAMES):
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
