"""How far a region has confirmed a revision."""

from __future__ import annotations

import msgspec


class RegionConfirmation(msgspec.Struct, frozen=True):
    """Members of a region by whether they hold a revision.

    Attributes
    ----------
    region : str
        Name of the region.
    confirmed : int
        Members that have renewed with the revision or a higher one.
    waiting : int
        Members that renew but have not confirmed.
    lost : int
        Members that do not renew and have not confirmed. They may still serve on
        zone evidence if the region is cut off.
    """

    region: str
    confirmed: int
    waiting: int
    lost: int

    @property
    def is_confirmed(self) -> bool:
        """Whether every member holds the revision."""
        return self.waiting == 0 and self.lost == 0
