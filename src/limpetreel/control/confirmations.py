"""Revisions that nodes report, for answers to operators."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from limpetreel.catalog import member_state
from limpetreel.control import region_confirmation

if TYPE_CHECKING:
    from limpetreel.catalog import table
    from limpetreel.messages import renew


class Confirmations:
    """Tells which regions hold a revision, as seen by the leader.

    A cut-off region does not learn of a zone-out, so the answer to the command
    names the regions that have not confirmed it.
    """

    def __init__(self) -> None:
        self._reported: dict[str, tuple[int, int]] = {}

    def renewed(self, renewal: renew.Renew) -> None:
        """Note the revision in a renewal; a late renewal does not lower it."""
        reported = (renewal.incarnation, renewal.revision)
        old = self._reported.get(renewal.name, reported)
        self._reported[renewal.name] = max(old, reported)

    def regions(
        self, revision: int, records: table.Table
    ) -> list[region_confirmation.RegionConfirmation]:
        """Return the confirmation of every region that has zones or members.

        Parameters
        ----------
        revision : int
            Revision to be confirmed.
        records : Table
            Table of the catalog.
        """
        counts: dict[str, collections.Counter[str]] = {
            zone.region: collections.Counter() for zone in records.zones()
        }
        members = records.members()
        for member in members:
            count = counts.setdefault(member.region, collections.Counter())
            known = self._reported.get(member.name, (0, 0))
            if known[0] >= member.incarnation and known[1] >= revision:
                count["confirmed"] += 1
            elif member.state is member_state.MemberState.LOST:
                count["lost"] += 1
            else:
                count["waiting"] += 1
        self._forget_removed({m.name for m in members})
        return [
            region_confirmation.RegionConfirmation(
                name, count["confirmed"], count["waiting"], count["lost"]
            )
            for name, count in sorted(counts.items())
        ]

    def _forget_removed(self, names: set[str]) -> None:
        for name in self._reported.keys() - names:
            del self._reported[name]
