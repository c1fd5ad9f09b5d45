"""Newest renewal of each node."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from limpetreel.control import confirmation

if TYPE_CHECKING:
    from limpetreel.catalog import table
    from limpetreel.messages import renew

MAX_NODES = 16_384


class RenewalLog:
    """Remembers what nodes renewed last and what has not been reported yet."""

    def __init__(self) -> None:
        self._newest: collections.OrderedDict[str, tuple[float, renew.Renew]] = (
            collections.OrderedDict()
        )
        self._unreported: dict[str, renew.Renew] = {}

    def note(self, now: float, renewal: renew.Renew) -> None:
        """Remember a renewal; a late one does not lower the revision."""
        old = self._newest.get(renewal.name)
        if old is not None:
            renewal = max(old[1], renewal, key=lambda r: (r.incarnation, r.revision))
        self._newest[renewal.name] = (now, renewal)
        self._newest.move_to_end(renewal.name)
        if len(self._newest) > MAX_NODES:
            self._newest.popitem(last=False)

    def queue_report(self, renewal: renew.Renew) -> None:
        """Remember a renewal that the leader has to be told of."""
        if len(self._unreported) < MAX_NODES:
            self._unreported[renewal.name] = renewal

    def take_report(self, limit: int) -> tuple[renew.Renew, ...]:
        """Return up to a number of renewals to report, each once."""
        names = list(self._unreported)[:limit]
        return tuple(self._unreported.pop(name) for name in names)

    def confirmations(
        self, now: float, records: table.Table
    ) -> list[confirmation.Confirmation]:
        """Return what each member of the table has confirmed."""
        found = []
        for member in records.members():
            heard = self._newest.get(member.name)
            # What a replaced process held says nothing of the present one.
            if heard is not None and heard[1].incarnation < member.incarnation:
                heard = None
            revision = heard[1].revision if heard else 0
            age = round(now - heard[0], 3) if heard else None
            found.append(
                confirmation.Confirmation(
                    member.name, member.zone, member.region, revision, age
                )
            )
        return found
