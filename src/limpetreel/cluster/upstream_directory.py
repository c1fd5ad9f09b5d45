"""Upstreams that a control instance has heard of."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from limpetreel.cluster import upstream_record
    from limpetreel.cluster.messages import report

SILENT_SECONDS = 2.0
"""Silence after which entries prefer other upstreams; four reports."""
GONE_SECONDS = 75.0
"""Silence after which an agent is forgotten; longer than any flow must be kept."""


class _Entry:
    """One upstream with the last report."""

    __slots__ = ("change", "heard_at", "record", "report")

    def __init__(self, now: float, item: report.Report) -> None:
        self.report = item
        self.record = item.record
        self.heard_at = now
        self.change = 0


class UpstreamDirectory:
    """Soft state: every entry is renewed by reports and lost with the process."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._removed: dict[str, int] = {}
        self.change = 0

    def note(self, now: float, item: report.Report) -> bool:
        """Take a report; return whether it says anything new."""
        name = item.record.name
        known = self._entries.get(name)
        if known is not None and _is_older(item, known.report):
            return False
        if known is None:
            known = self._entries[name] = _Entry(now, item)
            self._removed.pop(name, None)
            self._mark(known)
            return True
        known.heard_at = now
        known.report = item
        if known.record == item.record:
            return False
        known.record = item.record
        self._mark(known)
        return True

    def expire(self, now: float) -> list[str]:
        """Mark silent upstreams and remove old ones; return the newly silent."""
        silent = []
        for name, item in list(self._entries.items()):
            age = now - item.heard_at
            if age > GONE_SECONDS:
                del self._entries[name]
                self.change += 1
                self._removed[name] = self.change
            elif age > SILENT_SECONDS and item.record.is_heard:
                item.record = msgspec.structs.replace(item.record, is_heard=False)
                self._mark(item)
                silent.append(name)
        return silent

    def changed_since(
        self, change: int
    ) -> tuple[tuple[upstream_record.UpstreamRecord, ...], tuple[str, ...]]:
        """Return the records and removals after a change."""
        records = tuple(e.record for e in self._entries.values() if e.change > change)
        removed = tuple(n for n, c in self._removed.items() if c > change)
        return records, removed

    def _mark(self, item: _Entry) -> None:
        self.change += 1
        item.change = self.change


def _is_older(item: report.Report, known: report.Report) -> bool:
    return item.start == known.start and item.sequence < known.sequence
