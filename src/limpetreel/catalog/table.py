"""Table of classes, zones and members."""

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
    Tombstones stay in `records` so that a delta includes removals. The digests cover
    live records only, so that tables with different tombstones have equal digests.

    An agent holds a part of the table, its scope: the zones, the entries, its own
    class and the agents of that class. The scope is named by the class.

    Attributes
    ----------
    revision : int
        Index of the log entry of the last change.
    floor : int
        Lowest revision from which all tombstones are held.
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

    def put(self, rec: record.Record) -> None:
        """Insert or replace one record and update the digests."""
        old = self.records.pop(rec.key, None)
        if old is not None:
            self._unindex(old)
        self._is_ordered = self._is_ordered and rec.modified >= self._last_modified
        self._last_modified = max(self._last_modified, rec.modified)
        self.records[rec.key] = rec
        self._index(rec)

    def apply(self, new_records: Iterable[record.Record], revision: int) -> None:
        """Apply a delta that leads to a revision.

        The revision never decreases: a delta to a lower or equal one is ignored.
        """
        if revision <= self.revision:
            return
        for rec in new_records:
            if self._is_newer(rec):
                self.put(rec)
        self.revision = revision

    def digest_after(self, new_records: Iterable[record.Record]) -> int:
        """Return the digest that the table would have after a delta."""
        digest = self._digest
        for rec in new_records:
            if not self._is_newer(rec):
                continue
            old = self.records.get(rec.key)
            if old is not None and not old.removed:
                digest ^= record.record_hash(old)
            if not rec.removed:
                digest ^= record.record_hash(rec)
        return digest

    def replace(
        self, new_records: Iterable[record.Record], revision: int, floor: int
    ) -> None:
        """Replace the whole content.

        Parameters
        ----------
        new_records : iterable of Record
            The new records.
        revision, floor : int
            As the attributes.
        """
        self._clear()
        for rec in sorted(new_records, key=_change_order):
            self.put(rec)
        self.revision = revision
        self.floor = floor

    def prune(self, limit: int) -> None:
        """Drop the oldest tombstones beyond a limit, and raise the floor."""
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
        changed = []
        for rec in reversed(self.records.values()):
            if rec.modified > revision:
                if scope in (EVERYTHING, _group(rec)) or _group(rec) == _COMMON:
                    changed.append(rec)
            elif self._is_ordered:
                break
        return sorted(changed, key=_change_order)

    def class_by_id(self, class_id: int) -> class_record.ClassRecord | None:
        """Return the class with a number, or None."""
        return self._class_by_id.get(class_id)

    def class_by_name(self, name: str) -> class_record.ClassRecord | None:
        """Return the class with a name, or None if there is none or it is removed."""
        current = self.records.get(f"class/{name}")
        if isinstance(current, class_record.ClassRecord) and not current.removed:
            return current
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
        zone = self.zone(name)
        return zone is not None and zone.serving

    def member(self, name: str) -> member_record.MemberRecord | None:
        """Return the member with a name, or None."""
        current = self.records.get(f"member/{name}")
        if isinstance(current, member_record.MemberRecord) and not current.removed:
            return current
        return None

    def members(self) -> list[member_record.MemberRecord]:
        """Return all members that are not removed, in order of their names."""
        members = [
            r
            for r in self.records.values()
            if isinstance(r, member_record.MemberRecord) and not r.removed
        ]
        return sorted(members, key=operator.attrgetter("name"))

    def agents_of(self, class_name: str) -> list[member_record.MemberRecord]:
        """Return the agents of a class in any state, in order of their node ids."""
        agents = self._agents.get(class_name, {}).values()
        return sorted(agents, key=operator.attrgetter("node_id"))

    def agent_names(self, class_name: str) -> Iterable[str]:
        """Return the names of the agents of a class in any state."""
        return self._agents.get(class_name, {}).keys()

    def _is_newer(self, rec: record.Record) -> bool:
        old = self.records.get(rec.key)
        return old is None or old.modified < rec.modified

    def _index(self, rec: record.Record) -> None:
        if rec.removed:
            self._tombstones[rec.key] = None
            return
        self._toggle(rec)
        if isinstance(rec, class_record.ClassRecord):
            self._class_by_id[rec.class_id] = rec
        elif isinstance(rec, zone_record.ZoneRecord):
            self._zones[rec.name] = rec
        elif rec.class_name:
            self._agents[rec.class_name][rec.name] = rec

    def _unindex(self, rec: record.Record) -> None:
        if rec.removed:
            self._tombstones.pop(rec.key, None)
            return
        self._toggle(rec)
        if isinstance(rec, class_record.ClassRecord):
            self._class_by_id.pop(rec.class_id, None)
        elif isinstance(rec, zone_record.ZoneRecord):
            self._zones.pop(rec.name, None)
        elif rec.class_name:
            self._agents[rec.class_name].pop(rec.name, None)

    def _toggle(self, rec: record.Record) -> None:
        """Add a live record to the digests, or remove one that they include."""
        value = record.record_hash(rec)
        self._digest ^= value
        self._digests[_group(rec)] ^= value


def _change_order(rec: record.Record) -> tuple[int, str]:
    return rec.modified, rec.key


def _group(rec: record.Record) -> str:
    """Return the class that a record belongs to, empty for zones and entries."""
    if isinstance(rec, class_record.ClassRecord):
        return rec.name
    if isinstance(rec, member_record.MemberRecord) and rec.role is role.Role.AGENT:
        return rec.class_name
    return _COMMON
