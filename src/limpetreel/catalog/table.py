"""The table that every node holds."""

from __future__ import annotations

import collections
import operator
from typing import TYPE_CHECKING

from limpetreel.catalog import (
    class_record,
    member_record,
    record,
    role,
    zone_record,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

EVERYTHING = ""
"""Scope of entries and control instances, which hold the whole table."""

_COMMON = ""


class Table:
    """Records by key with a revision and digests.

    Control changes it by applying log entries, other nodes by applying deltas.
    Tombstones stay in `records` so that a delta also tells what was removed. The
    digests cover live records only, so that tables that remember different
    removals are still equal.

    An agent holds a part of the table, its scope: the zones, the entries, its own
    class and the agents of that class. The scope is named by the class.

    Attributes
    ----------
    revision : int
        Index of the log entry of the last change.
    floor : int
        Lowest revision from which all removals are known.
    records : dict of str to Record
        Records with tombstones by key, in order of their last change.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.floor = 0
        self.records: dict[str, record.Record] = {}
        self._clear()

    def _clear(self) -> None:
        self.records.clear()
        self._digests: dict[str, int] = collections.defaultdict(int)
        self._digest = 0
        self._last_modified = 0
        self._is_ordered = True
        self._tombstones: dict[str, None] = {}
        self._agents: dict[str, dict[str, member_record.MemberRecord]] = (
            collections.defaultdict(dict)
        )
        self._class_by_id: dict[int, class_record.ClassRecord] = {}
        self._zones: dict[str, zone_record.ZoneRecord] = {}

    @property
    def digest(self) -> int:
        """Digest of all live records."""
        return self._digest

    def scope_digest(self, scope: str) -> int:
        """Return the digest of the live records of a scope.

        Parameters
        ----------
        scope : str
            Name of a class, or `EVERYTHING`.
        """
        if scope == EVERYTHING:
            return self._digest
        return self._digests.get(_COMMON, 0) ^ self._digests.get(scope, 0)

    def put(self, item: record.Record) -> None:
        """Insert or replace one record and update the digests."""
        old = self.records.pop(item.key, None)
        if old is not None:
            self._unindex(old)
        self._is_ordered = self._is_ordered and item.modified >= self._last_modified
        self._last_modified = max(self._last_modified, item.modified)
        self.records[item.key] = item
        self._index(item)

    def apply(self, items: Iterable[record.Record], revision: int) -> None:
        """Apply a delta that leads to a revision.

        A table never goes back: a lower or equal revision is ignored.
        """
        if revision <= self.revision:
            return
        for item in items:
            if self._is_news(item):
                self.put(item)
        self.revision = revision

    def digest_after(self, items: Iterable[record.Record]) -> int:
        """Return the digest that the table would have after a delta."""
        found = self._digest
        for item in items:
            if not self._is_news(item):
                continue
            old = self.records.get(item.key)
            if old is not None and not old.removed:
                found ^= record.record_hash(old)
            if not item.removed:
                found ^= record.record_hash(item)
        return found

    def replace(
        self, items: Iterable[record.Record], revision: int, floor: int
    ) -> None:
        """Replace the whole content.

        Parameters
        ----------
        items : iterable of Record
            The new records.
        revision, floor : int
            As the attributes.
        """
        self._clear()
        for item in sorted(items, key=_change_order):
            self.put(item)
        self.revision = revision
        self.floor = floor

    def prune(self, limit: int) -> None:
        """Forget the oldest removals beyond a number, and raise the floor."""
        while len(self._tombstones) > limit:
            key = next(iter(self._tombstones))
            old = self.records.pop(key)
            del self._tombstones[key]
            self.floor = max(self.floor, old.modified)

    def changed_after(
        self, revision: int, scope: str = EVERYTHING
    ) -> list[record.Record]:
        """Return the records of a scope that changed after a revision.

        Parameters
        ----------
        revision : int
            Records with a higher revision are returned, the oldest first.
        scope : str
            Name of a class, or `EVERYTHING`.
        """
        found = []
        for item in reversed(self.records.values()):
            if item.modified > revision:
                if scope in (EVERYTHING, _group(item)) or _group(item) == _COMMON:
                    found.append(item)
            elif self._is_ordered:
                break
        return sorted(found, key=_change_order)

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
        return sorted(self._class_by_id.values(), key=operator.attrgetter("class_id"))

    def zone(self, name: str) -> zone_record.ZoneRecord | None:
        """Return the zone with a name, or None."""
        return self._zones.get(name)

    def zones(self) -> list[zone_record.ZoneRecord]:
        """Return the zones that are not removed, in order of their names."""
        return sorted(self._zones.values(), key=operator.attrgetter("name"))

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
        return sorted(found, key=operator.attrgetter("name"))

    def agents_of(self, class_name: str) -> list[member_record.MemberRecord]:
        """Return the agents of a class in any state, in order of their node ids."""
        found = self._agents.get(class_name, {}).values()
        return sorted(found, key=operator.attrgetter("node_id"))

    def agent_names(self, class_name: str) -> Iterable[str]:
        """Return the names of the agents of a class in any state."""
        return self._agents.get(class_name, {}).keys()

    def _is_news(self, item: record.Record) -> bool:
        old = self.records.get(item.key)
        return old is None or old.modified < item.modified

    def _index(self, item: record.Record) -> None:
        if item.removed:
            self._tombstones[item.key] = None
            return
        self._toggle(item)
        if isinstance(item, class_record.ClassRecord):
            self._class_by_id[item.class_id] = item
        elif isinstance(item, zone_record.ZoneRecord):
            self._zones[item.name] = item
        elif item.class_name:
            self._agents[item.class_name][item.name] = item

    def _unindex(self, item: record.Record) -> None:
        if item.removed:
            self._tombstones.pop(item.key, None)
            return
        self._toggle(item)
        if isinstance(item, class_record.ClassRecord):
            self._class_by_id.pop(item.class_id, None)
        elif isinstance(item, zone_record.ZoneRecord):
            self._zones.pop(item.name, None)
        elif item.class_name:
            self._agents[item.class_name].pop(item.name, None)

    def _toggle(self, item: record.Record) -> None:
        """Add a live record to the digests, or take it away again."""
        value = record.record_hash(item)
        self._digest ^= value
        self._digests[_group(item)] ^= value


def _change_order(item: record.Record) -> tuple[int, str]:
    return item.modified, item.key


def _group(item: record.Record) -> str:
    """Return the class that a record belongs to, empty for zones and entries."""
    if isinstance(item, class_record.ClassRecord):
        return item.name
    if isinstance(item, member_record.MemberRecord) and item.role is role.Role.AGENT:
        return item.class_name
    return _COMMON
