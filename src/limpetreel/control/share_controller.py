"""Shares that follow the measured capacity of agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.catalog import member_record
from limpetreel.control import share_watch

if TYPE_CHECKING:
    from limpetreel.catalog import table

MEDIAN_SHARE = 16
"""Share of an agent with the median capacity of its class.

Shares are relative to the median, so that agents from 1/16 to 4 times the median
are told apart whatever the unit of capacity, and one wrong report among three
or more does not move the shares of the others.
"""

TOLERANCE = 0.25
DIFFER_SECONDS = 10.0
CLASS_INTERVAL_SECONDS = 5.0
MEMBER_INTERVAL_SECONDS = 20.0
"""Least time between two changes of one agent: three a minute if it flaps."""

_NO_REPORTS = share_watch.ShareWatch()

MAX_GAP_SECONDS = 2.0
"""Reports further apart do not show a lasting difference."""


class ShareController:
    """Decides when an agent's share changes.

    Hysteresis keeps a misreporting or flapping upstream from changing the table
    repeatedly; the placement of flows compensates for the difference meanwhile.
    """

    def __init__(self) -> None:
        self._watches: dict[str, share_watch.ShareWatch] = {}
        self._class_changed_at: dict[str, float] = {}

    def report(self, now: float, name: str, capacity: int) -> None:
        """Record the capacity that an agent reports, in requests a minute."""
        watch = self._watches.setdefault(name, share_watch.ShareWatch())
        if now - watch.reported_at > MAX_GAP_SECONDS:
            watch.differs_since = None
        watch.capacity = capacity
        watch.reported_at = now

    def remove(self, name: str) -> None:
        """Drop the reports of a member."""
        self._watches.pop(name, None)

    def wanted(self, name: str, class_name: str, records: table.Table) -> int:
        """Return the share that the last reports of a class call for."""
        capacity = self._watches.get(name, _NO_REPORTS).capacity
        if capacity <= 0:
            return MEDIAN_SHARE
        watches = self._watches
        names = {*records.agent_names(class_name), name}
        known = sorted(watches[n].capacity for n in names if n in watches)
        # Of two middle reports, the higher is the median; reports are positive.
        share = round(MEDIAN_SHARE * capacity / known[len(known) // 2])
        return min(max(share, member_record.MIN_SHARE), member_record.MAX_SHARE)

    def change(
        self, now: float, member: member_record.MemberRecord, records: table.Table
    ) -> int | None:
        """Return the new share of an agent that has just reported, or None."""
        watch = self._watches[member.name]
        wanted = self.wanted(member.name, member.class_name, records)
        difference = wanted - member.share
        if abs(difference) <= TOLERANCE * member.share:
            watch.differs_since = None
            return None
        has_other_sign = (watch.nearest - member.share) * difference <= 0
        if watch.differs_since is None or has_other_sign:
            watch.differs_since = now
            watch.nearest = wanted
            return None
        nearer = min if difference > 0 else max
        watch.nearest = nearer(watch.nearest, wanted)
        if now - watch.differs_since < DIFFER_SECONDS:
            return None
        if not self._may_change(now, member.class_name, watch):
            return None
        self._class_changed_at[member.class_name] = now
        watch.changed_at = now
        watch.differs_since = None
        return watch.nearest

    def _may_change(
        self, now: float, class_name: str, watch: share_watch.ShareWatch
    ) -> bool:
        last = self._class_changed_at.get(class_name, float("-inf"))
        if now - last < CLASS_INTERVAL_SECONDS:
            return False
        return now - watch.changed_at >= MEMBER_INTERVAL_SECONDS
