"""Table revision confirmed by a member."""

from __future__ import annotations

import msgspec


class Confirmation(msgspec.Struct, frozen=True):
    """Revision that a member named in its newest renewal.

    Attributes
    ----------
    name, zone, region : str
        The member.
    revision : int
        Revision of its table.
    age_s : float or None
        Seconds since the renewal; None if this instance has received none.
    """

    name: str
    zone: str
    region: str
    revision: int
    age_s: float | None
