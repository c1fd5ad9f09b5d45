"""Confirmation of a revision by the members."""

from __future__ import annotations

import msgspec


class Confirmation(msgspec.Struct, frozen=True):
    """Revision that a member has confirmed, as control reports it.

    Attributes
    ----------
    name, zone, region : str
        The member.
    revision : int
        Revision in the last renewal of the member.
    age_s : float or None
        Time since its last renewal, in seconds; None if control has received none.
    """

    name: str
    zone: str
    region: str
    revision: int
    age_s: float | None

    def is_renewing(self, limit: float) -> bool:
        """Return whether the last renewal is at most `limit` seconds old."""
        return self.age_s is not None and self.age_s <= limit
