"""Directory of the upstreams reported to a control instance."""

from __future__ import annotations

import typing
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

    from limpetreel.cluster import upstream_record
    from limpetreel.cluster.messages import report

REPORT_TIMEOUT_SECONDS = 2.0
"""Time without reports after which entries prefer other upstreams; four report
intervals."""
REMOVAL_SECONDS = 75.0
"""Time without reports after which an agent is removed; longer than any flow must be
kept."""


class _Removal(typing.NamedTuple):
    """Number of the change that removed an upstream, and its time."""

    change: int
    at: float


class _ReportedUpstream:
    """One upstream with its last report."""

    __slots__ = ("change", "record", "report", "reported_at")

    def __init__(self, now: float, new_report: report.Report) -> None:
        self.report = new_report
        self.record = new_report.record
        self.reported_at = now
        self.change = 0


class UpstreamDirectory:
    """Soft state of upstreams, renewed by reports and lost when the process ends."""

    def __init__(self) -> None:
        self._upstreams: dict[str, _ReportedUpstream] = {}
        self._removed: dict[str, _Removal] = {}
        self.change = 0

    def record_report(self, now: float, new_report: report.Report) -> bool:
        """Record a report; return whether it changes the directory."""
        name = new_report.record.name
        existing = self._upstreams.get(name)
        if self.is_outdated(new_report):
            return False
        if existing is None:
            existing = self._upstreams[name] = _ReportedUpstream(now, new_report)
            self._removed.pop(name, None)
            self._mark_changed(existing)
            return True
        existing.reported_at = now
        existing.report = new_report
        if existing.record == new_report.record:
            return False
        existing.record = new_report.record
        self._mark_changed(existing)
        return True

    def knows(self, name: str) -> bool:
        """Return whether an agent has reported and has not been removed."""
        return name in self._upstreams

    def is_active(self, name: str) -> bool:
        """Return whether an agent has reported and its end is not known."""
        return name in self._upstreams and not self._upstreams[name].record.has_ended

    def is_outdated(self, new_report: report.Report) -> bool:
        """Return whether a report says nothing about the present of its agent.

        A later report of the same start is known, or the report is the end of an
        earlier start that was relayed late.
        """
        existing = self._upstreams.get(new_report.record.name)
        if existing is None:
            return False
        if new_report.start != existing.report.start:
            return new_report.record.has_ended
        return new_report.sequence < existing.report.sequence

    def expire(self, now: float, kept: AbstractSet[str] = frozenset()) -> list[str]:
        """Mark overdue upstreams, remove old ones; return the names newly marked.

        Parameters
        ----------
        now : float
            Time in seconds.
        kept : set of str
            Agents that are not removed.
        """
        overdue = []
        for name, upstream in list(self._upstreams.items()):
            age = now - upstream.reported_at
            if age > REMOVAL_SECONDS and name not in kept:
                del self._upstreams[name]
                self.change += 1
                self._removed[name] = _Removal(self.change, now)
            elif age > REPORT_TIMEOUT_SECONDS and upstream.record.is_reported:
                upstream.record = msgspec.structs.replace(
                    upstream.record, is_reported=False
                )
                self._mark_changed(upstream)
                overdue.append(name)
        forgotten = [
            n for n, r in self._removed.items() if now - r.at > REMOVAL_SECONDS
        ]
        for name in forgotten:
            del self._removed[name]
        return overdue

    def changed_since(
        self, change: int | None
    ) -> tuple[tuple[upstream_record.UpstreamRecord, ...], tuple[str, ...]]:
        """Return the records and removals after a change, all if it is None."""
        if change is None:
            return tuple(e.record for e in self._upstreams.values()), tuple(
                self._removed
            )
        records = tuple(e.record for e in self._upstreams.values() if e.change > change)
        removed = tuple(n for n, r in self._removed.items() if r.change > change)
        return records, removed

    def _mark_changed(self, upstream: _ReportedUpstream) -> None:
        self.change += 1
        upstream.change = self.change
