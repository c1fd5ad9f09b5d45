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
    """Holds the newest renewal of each node and those not yet reported."""

    def __init__(self) -> None:
        self._newest: collections.OrderedDict[str, tuple[float, renew.Renew]] = (
            collections.OrderedDict()
        )
        self._unreported: dict[str, renew.Renew] = {}

    def record(self, now: float, renewal: renew.Renew) -> None:
        """Record a renewal; one that arrives late does not lower the revision."""
        old = self._newest.get(renewal.name)
        if old is not None:
            renewal = max(old[1], renewal, key=lambda r: (r.incarnation, r.revision))
        self._newest[renewal.name] = (now, renewal)
        self._newest.move_to_end(renewal.name)
        if len(self._newest) > MAX_NODES:
            self._newest.popitem(last=False)

    def queue_report(self, renewal: renew.Renew) -> None:
        """Queue a renewal for the next report to the leader."""
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
        confirmations = []
        for member in records.members():
            newest = self._newest.get(member.name)
            # A renewal of an earlier incarnation does not apply to the current one.
            if newest is not None and newest[1].incarnation < member.incarnation:
                newest = None
            revision = newest[1].revision if newest else 0
            age = round(now - newest[0], 3) if newest else None
            confirmations.append(
                confirmation.Confirmation(
                    member.name, member.zone, member.region, revision, age
                )
            )
        return confirmations
