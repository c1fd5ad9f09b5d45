"""Disk in memory that loses what was not synced."""

from __future__ import annotations

from limpetreel import exceptions
from limpetreel.storage import disk


class Crashed(Exception):  # noqa: N818
    """The instance crashed in the middle of a disk operation."""


class _File:
    """Content visible to the process and content on the medium."""

    def __init__(self):
        self.data = bytearray()
        self.synced = b""
        self.holes = []


class FakeDisk(disk.Disk):
    """Files with torn writes, lost names and failed syncs as set by the test.

    `crash_in` counts down operations until `Crashed` is raised; `fail_sync_in`
    counts down syncs until one fails and its data never reaches the medium. While
    `is_full` is set, a write stores half of its data and fails; `creates_when_full`
    tells whether it creates its file before.
    """

    def __init__(self):
        self._names = {}
        self._durable = {}
        self._name_changes = []
        self.crash_in = None
        self.fail_sync_in = None
        self.is_full = False
        self.creates_when_full = False

    def list_files(self):
        return sorted(self._names)

    def read(self, name):
        return bytes(self._names[name].data)

    def append(self, name, data):
        self._count()
        if self.is_full and name not in self._names and not self.creates_when_full:
            raise exceptions.DiskFullError("fake_disk.append", "no space", path=name)
        if name not in self._names:
            file = _File()
            self._change_name(lambda names: names.update({name: file}))
        if self.is_full:
            self._names[name].data += data[: len(data) // 2]
            raise exceptions.DiskFullError("fake_disk.append", "no space", path=name)
        self._names[name].data += data

    def truncate(self, name, size):
        self._count()
        del self._names[name].data[size:]

    def sync(self, name):
        self._count()
        file = self._names[name]
        if self._sync_fails():
            # The kernel marks the pages clean although they were not written.
            file.holes.append((len(file.synced), len(file.data)))
            raise OSError(5, "sync failed", name)
        data = bytearray(file.data)
        for start, end in file.holes:
            data[start:end] = bytes(end - start)
        file.synced = bytes(data)

    def rename(self, old, new):
        self._count()
        self._change_name(lambda names: names.update({new: names.pop(old)}))

    def remove(self, name):
        self._count()
        self._change_name(lambda names: names.pop(name))

    def sync_folder(self):
        self._count()
        if self._sync_fails():
            raise OSError(5, "sync failed", "folder")
        self._durable = dict(self._names)
        self._name_changes.clear()

    def close(self):
        pass

    def crash(self, rng):
        """Keep what was synced and a random part of the rest."""
        for change in self._name_changes[: rng.randint(0, len(self._name_changes))]:
            change(self._durable)
        self._name_changes.clear()
        for file in self._durable.values():
            file.data = self._after_crash(file, rng)
            file.synced = bytes(file.data)
            file.holes.clear()
        self._names = dict(self._durable)
        self.crash_in = None
        self.fail_sync_in = None

    def damage(self, name, offset):
        """Flip one bit of a file."""
        file = self._names[name]
        file.data[offset] ^= 1
        file.synced = bytes(file.data)

    def _after_crash(self, file, rng):
        if file.holes:
            return bytearray(file.synced)
        if not file.data.startswith(file.synced):
            return bytearray(rng.choice((file.synced, bytes(file.data))))
        tail = file.data[len(file.synced) :]
        kept = bytearray(tail[: rng.randint(0, len(tail))])
        if kept and rng.random() < 0.3:
            kept[rng.randrange(len(kept)) :] = bytes(1)
        return bytearray(file.synced) + kept

    def _change_name(self, change):
        change(self._names)
        self._name_changes.append(change)

    def _count(self):
        if self.crash_in is not None:
            self.crash_in -= 1
            if self.crash_in < 0:
                raise Crashed

    def _sync_fails(self):
        if self.fail_sync_in is None:
            return False
        self.fail_sync_in -= 1
        return self.fail_sync_in < 0
