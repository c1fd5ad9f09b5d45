"""Record of a zone."""

from __future__ import annotations

import msgspec


class ZoneRecord(msgspec.Struct, frozen=True, tag="zone", array_like=True):
    """A zone and whether it serves.

    Attributes
    ----------
    name : str
        Name of the zone.
    region : str
        Region that the zone belongs to.
    serving : bool
        False while operators have taken the zone out.
    modified : int
        Revision of the last change.
    removed : bool
        True for a tombstone.
    """

    name: str
    region: str
    serving: bool
    modified: int
    removed: bool = False

    @property
    def key(self) -> str:
        """Key of the record in the table."""
        return f"zone/{self.name}"
