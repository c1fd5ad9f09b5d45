"""The table that every node holds."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from limpetreel.catalog import (
    class_record,
    member_record,
    record,
    zone_record,
)

if TYPE_CHECKING:
    from collections.abc import Iterable


class Table:
    """Records by key with a revision and a digest.

    Control changes it by applying log entries, other nodes by applying deltas.
    Tombstones stay in `records` so that a delta from any earlier revision also
    tells what was removed.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.digest = 0
        self.records: dict[str, record.Record] = {}
        self._agents: dict[str, dict[str, member_record.MemberRecord]] = (
            collections.defaultdict(dict)
        )
        self._class_by_id: dict[int, class_record.ClassRecord] = {}

    def put(self, item: record.Record) -> None:
        """Insert or replace one record and update the digest."""
        old = self.records.get(item.key)
        if old is not None:
            self.digest ^= record.record_hash(old)
            self._unindex(old)
        self.records[item.key] = item
        self.digest ^= record.record_hash(item)
        self._index(item)

    def apply(self, items: Iterable[record.Record], revision: int) -> None:
        """Apply a delta that leads to a revision.

        A table never goes back: a lower or equal revision is ignored.
        """
        if revision <= self.revision:
            return
        for item in items:
            old = self.records.get(item.key)
            if old is None or old.modified < item.modified:
                self.put(item)
        self.revision = revision

    def changed_after(self, revision: int) -> list[record.Record]:
        """Return the records that changed after a revision, oldest first."""
        found = [r for r in self.records.values() if r.modified > revision]
        return sorted(found, key=lambda r: (r.modified, r.key))

    def class_by_id(self, class_id: int) -> class_record.ClassRecord | None:
        """Return the class with a number, or None."""
        return self._class_by_id.get(class_id)

    def class_by_name(self, name: str) -> class_record.ClassRecord | None:
        """Return the class with a name, or None if there is none or it is removed."""
        found = self.records.get(f"class/{name}")
        if isinstance(found, class_record.ClassRecord) and not found.removed:
            return found
        return None

    def classes(self) -> list[class_record.ClassRecord]:
        """Return the classes that are not removed, in order of their numbers."""
        return sorted(self._class_by_id.values(), key=lambda c: c.class_id)

    def zone(self, name: str) -> zone_record.ZoneRecord | None:
        """Return the zone with a name, or None."""
        found = self.records.get(f"zone/{name}")
        if isinstance(found, zone_record.ZoneRecord) and not found.removed:
            return found
        return None

    def zones(self) -> list[zone_record.ZoneRecord]:
        """Return the zones that are not removed, in order of their names."""
        found = [
            r
            for r in self.records.values()
            if isinstance(r, zone_record.ZoneRecord) and not r.removed
        ]
        return sorted(found, key=lambda z: z.name)

    def is_zone_serving(self, name: str) -> bool:
        """Return whether a zone is known and has not been taken out."""
        found = self.zone(name)
        return found is not None and found.serving

    def member(self, name: str) -> member_record.MemberRecord | None:
        """Return the member with a name, or None."""
        found = self.records.get(f"member/{name}")
        if isinstance(found, member_record.MemberRecord) and not found.removed:
            return found
        return None

    def members(self) -> list[member_record.MemberRecord]:
        """Return all members that are not removed, in order of their names."""
        found = [
            r
            for r in self.records.values()
            if isinstance(r, member_record.MemberRecord) and not r.removed
        ]
        return sorted(found, key=lambda m: m.name)

    def agents_of(self, class_name: str) -> list[member_record.MemberRecord]:
        """Return the agents of a class in any state, in order of their node ids."""
        found = self._agents.get(class_name, {}).values()
        return sorted(found, key=lambda m: m.node_id)

    def _index(self, item: record.Record) -> None:
        if item.removed:
            return
        if isinstance(item, class_record.ClassRecord):
            self._class_by_id[item.class_id] = item
        elif isinstance(item, member_record.MemberRecord) and item.class_name:
            self._agents[item.class_name][item.name] = item

    def _unindex(self, item: record.Record) -> None:
        if isinstance(item, class_record.ClassRecord):
            self._class_by_id.pop(item.class_id, None)
        elif isinstance(item, member_record.MemberRecord) and item.class_name:
            self._agents[item.class_name].pop(item.name, None)
