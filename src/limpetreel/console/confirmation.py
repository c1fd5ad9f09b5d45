"""Confirmation of a revision by the members."""

from __future__ import annotations

import msgspec


class Confirmation(msgspec.Struct, frozen=True):
    """What control knows about the table of one member.

    Attributes
    ----------
    name, zone, region : str
        The member.
    revision : int
        Revision that the member named in its last renewal.
    age_s : float
        Time since its last renewal, in seconds.
    """

    name: str
    zone: str
    region: str
    revision: int
    age_s: float
