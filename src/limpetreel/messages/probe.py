"""Probe of another zone."""

from __future__ import annotations

import msgspec

from limpetreel.messages import short_names


class Probe(msgspec.Struct, frozen=True, tag="probe", rename=short_names.SHORT_NAMES):
    """Tests whether a node of another zone is reachable.

    Attributes
    ----------
    nonce : int
        Number that the answer repeats.
    zone : str
        Zone of the sender.
    """

    nonce: int
    zone: str
