"""Shares that follow the measured capacity of agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.catalog import member_record
from limpetreel.control import capacity_reports

if TYPE_CHECKING:
    from limpetreel.catalog import table

MEDIAN_SHARE = 16
"""Share of an agent with the median capacity of its class.

Shares are relative to the median, so that agents from 1/16 to 4 times the median
get different shares whatever the unit of capacity, and one wrong report among three
or more does not move the shares of the others.
"""

TOLERANCE = 0.25
MIN_DIFFERENCE_SECONDS = 10.0
CLASS_INTERVAL_SECONDS = 5.0
MEMBER_INTERVAL_SECONDS = 20.0
"""Minimum time between two changes of one agent: at most three a minute."""

_NO_REPORTS = capacity_reports.CapacityReports()

MAX_GAP_SECONDS = 2.0
"""Reports further apart do not show a lasting difference."""


class ShareController:
    """Decides when an agent's share changes.

    Hysteresis keeps a misreporting or flapping upstream from changing the table
    repeatedly; the placement of flows compensates for the difference meanwhile.
    """

    def __init__(self) -> None:
        self._reports: dict[str, capacity_reports.CapacityReports] = {}
        self._class_changed_at: dict[str, float] = {}

    def report(self, now: float, name: str, capacity: int) -> None:
        """Record the capacity that an agent reports, in requests a minute."""
        reports = self._reports.setdefault(name, capacity_reports.CapacityReports())
        if now - reports.reported_at > MAX_GAP_SECONDS:
            reports.differs_since = None
        reports.capacity = capacity
        reports.reported_at = now

    def remove(self, name: str) -> None:
        """Drop the reports of a member."""
        self._reports.pop(name, None)

    def target_share(self, name: str, class_name: str, records: table.Table) -> int:
        """Return the share that the last reports of a class call for."""
        capacity = self._reports.get(name, _NO_REPORTS).capacity
        if capacity <= 0:
            return MEDIAN_SHARE
        all_reports = self._reports
        names = {*records.agent_names(class_name), name}
        capacities = sorted(all_reports[n].capacity for n in names if n in all_reports)
        # Of two middle reports, the higher is the median; reports are positive.
        share = round(MEDIAN_SHARE * capacity / capacities[len(capacities) // 2])
        return min(max(share, member_record.MIN_SHARE), member_record.MAX_SHARE)

    def change(
        self, now: float, member: member_record.MemberRecord, records: table.Table
    ) -> int | None:
        """Return the new share of an agent that has just reported, or None."""
        reports = self._reports[member.name]
        target_share = self.target_share(member.name, member.class_name, records)
        difference = target_share - member.share
        if abs(difference) <= TOLERANCE * member.share:
            reports.differs_since = None
            return None
        has_other_sign = (reports.closest_share - member.share) * difference <= 0
        if reports.differs_since is None or has_other_sign:
            reports.differs_since = now
            reports.closest_share = target_share
            return None
        closer = min if difference > 0 else max
        reports.closest_share = closer(reports.closest_share, target_share)
        if now - reports.differs_since < MIN_DIFFERENCE_SECONDS:
            return None
        if not self._may_change(now, member.class_name, reports):
            return None
        self._class_changed_at[member.class_name] = now
        reports.changed_at = now
        reports.differs_since = None
        return reports.closest_share

    def _may_change(
        self, now: float, class_name: str, reports: capacity_reports.CapacityReports
    ) -> bool:
        last = self._class_changed_at.get(class_name, float("-inf"))
        if now - last < CLASS_INTERVAL_SECONDS:
            return False
        return now - reports.changed_at >= MEMBER_INTERVAL_SECONDS
