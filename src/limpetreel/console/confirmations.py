"""Confirmations of all members, as control reports them."""

from __future__ import annotations

import msgspec

from limpetreel.console import confirmation

RENEWAL_TIMEOUT_SECONDS = 5.0
"""A member without a renewal for longer is lost and serves no new flows."""


class Confirmations(msgspec.Struct, frozen=True):
    """Answer to the request ``confirmations``.

    Attributes
    ----------
    revision : int
        Revision of control's table.
    members : tuple of Confirmation
        All members that are not removed.
    """

    revision: int
    members: tuple[confirmation.Confirmation, ...]

    def missing(self, revision: int) -> list[confirmation.Confirmation]:
        """Return the members that renew and have not confirmed a revision.

        Parameters
        ----------
        revision : int
            The revision to confirm.
        """
        return [
            m
            for m in self.members
            if m.revision < revision and m.is_renewing(RENEWAL_TIMEOUT_SECONDS)
        ]

    def not_renewing(self, revision: int) -> list[confirmation.Confirmation]:
        """Return the members that do not renew and have not confirmed a revision.

        Parameters
        ----------
        revision : int
            The revision to confirm.
        """
        return [
            m
            for m in self.members
            if m.revision < revision and not m.is_renewing(RENEWAL_TIMEOUT_SECONDS)
        ]

    def cut_off_regions(self, revision: int) -> list[str]:
        """Return the regions in which no member renews and one is behind.

        Such a region may still serve on zone evidence, whereas a single member
        that does not renew has failed.

        Parameters
        ----------
        revision : int
            The revision to confirm.
        """
        renewing = {
            m.region for m in self.members if m.is_renewing(RENEWAL_TIMEOUT_SECONDS)
        }
        behind = {m.region for m in self.not_renewing(revision)}
        return sorted(behind - renewing)


def describe_locations(members: list[confirmation.Confirmation]) -> str:
    """Return the regions and zones of members, with the number of members in each.

    Parameters
    ----------
    members : list of Confirmation
        The members.
    """
    counts: dict[str, dict[str, int]] = {}
    for member in members:
        zones = counts.setdefault(member.region, {})
        zones[member.zone] = zones.get(member.zone, 0) + 1
    return "; ".join(
        f"region {region}: "
        + ", ".join(f"zone {z} ({n})" for z, n in sorted(zs.items()))
        for region, zs in sorted(counts.items())
    )
