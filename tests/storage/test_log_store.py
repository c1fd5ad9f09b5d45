"""Persisted state survives a crash; damaged files stop the instance."""

from __future__ import annotations

import contextlib
import errno
import pathlib
import random
import tempfile
import unittest
from unittest import mock

from limpetreel import exceptions
from limpetreel.consensus import entry, entry_kind, member, snapshot
from limpetreel.consensus.actions import persist, save_snapshot
from limpetreel.storage import folder_disk, log_store, segments
from tests import fixtures
from tests.storage import fake_disk

MEMBERS = (member.Member("a", 1, "a:1"),)
FIRST_SEGMENT = "log-0000000000000001"


def _entries(first, last, term=1):
    kind = entry_kind.EntryKind.DATA
    return tuple(entry.Entry(i, term, kind, b"%d" % i) for i in range(first, last + 1))


def _created(disk=None):
    disk = disk or fake_disk.FakeDisk()
    log_store.LogStore(disk).create("a", 1, MEMBERS)
    return disk


def _opened(disk):
    store = log_store.LogStore(disk)
    return store, store.recover()


def _crashed(disk, seed=1):
    disk.crash(random.Random(seed))
    return _opened(disk)


def test_persisted_state_survives_a_crash():
    """Guards against a return before file and folder are synced."""
    disk = _created()
    store, state = _opened(disk)
    assert (state.name, state.incarnation, state.entries) == ("a", 1, ())
    assert state.snapshot.members == MEMBERS
    store.persist(persist.Persist(3, "b#1", 0, _entries(1, 5, 3)))
    store.persist(persist.Persist(4, "", 4, _entries(4, 4, 4)))
    for seed in range(20):
        _, state = _crashed(disk, seed)
        assert (state.term, state.vote) == (4, "")
        assert state.entries == _entries(1, 3, 3) + _entries(4, 4, 4)


def test_lost_folder_is_not_a_first_start():
    """Guards against an empty folder that votes under its old identity."""
    disk = fake_disk.FakeDisk()
    assert log_store.LogStore(disk).recover() is None
    assert disk.list_files() == []


def test_initialised_folder_is_not_initialised_again():
    """Guards against a second initialisation that erases the log."""
    disk = _created()
    case = unittest.TestCase()
    with case.assertRaises(exceptions.StorageError):
        log_store.LogStore(disk).create("a", 2, ())


def test_log_without_marker_stops():
    """Guards against treating a partly lost folder as an empty one."""
    disk = _created()
    store, _ = _opened(disk)
    store.persist(persist.Persist(1, "", 0, _entries(1, 1)))
    disk.remove(log_store.MARKER_FILE)
    with unittest.TestCase().assertRaises(exceptions.CorruptError):
        log_store.LogStore(disk).recover()


def test_creation_survives_a_crash_at_every_point():
    """Guards against a creation that can be neither used nor repeated."""
    for crash_in in range(20):
        disk = fake_disk.FakeDisk()
        disk.crash_in = crash_in
        try:
            _created(disk)
        except fake_disk.Crashed:
            disk.crash(random.Random(crash_in))
            if log_store.LogStore(disk).recover() is None:
                _created(disk)
        disk.crash_in = None
        assert _opened(disk)[1].snapshot.members == MEMBERS


def test_torn_tail_is_cut():
    """Guards against a stop, or a half record, after a torn write."""
    for seed in range(30):
        disk = _created()
        store, _ = _opened(disk)
        store.persist(persist.Persist(1, "", 0, _entries(1, 2)))
        disk.crash_in = 1
        with contextlib.suppress(fake_disk.Crashed):
            store.persist(persist.Persist(1, "", 0, _entries(3, 9)))
        store, state = _crashed(disk, seed)
        assert state.entries in (_entries(1, 2), _entries(1, 9))
        last = state.entries[-1].index
        store.persist(persist.Persist(1, "", 0, _entries(last + 1, last + 1)))
        assert _crashed(disk)[1].entries == _entries(1, last + 1)


def test_damage_in_the_middle_stops():
    """Guards against cutting off synced entries as if they were a torn tail."""
    disk = _created()
    store, _ = _opened(disk)
    name = disk.list_files()[-1]
    for i in range(1, 4):
        start_of_last = len(disk.read(name))
        store.persist(persist.Persist(1, "", 0, _entries(i, i)))
    for offset in range(start_of_last):
        disk.damage(name, offset)
        with unittest.TestCase().assertRaises(exceptions.CorruptError) as caught:
            _opened(disk)
        assert caught.exception.path == name
        disk.damage(name, offset)


def test_missing_segment_stops():
    """Guards against a log with a gap."""
    disk = _created()
    for _ in range(3):
        store, _ = _opened(disk)
        store.persist(persist.Persist(1, ""))
    disk.remove(disk.list_files()[-2])
    with unittest.TestCase().assertRaises(exceptions.CorruptError):
        _opened(disk)


def test_damaged_snapshot_and_marker_stop():
    """Guards against recovering a state that was never written."""
    for name in (log_store.SNAPSHOT_FILE, log_store.MARKER_FILE):
        disk = _created()
        store, _ = _opened(disk)
        store.persist(persist.Persist(1, "", 0, _entries(1, 3)))
        made = snapshot.Snapshot(2, 1, MEMBERS, b"state")
        store.save_snapshot(save_snapshot.SaveSnapshot(made, True))
        disk.damage(name, 14)
        with unittest.TestCase().assertRaises(exceptions.CorruptError):
            _opened(disk)


def test_failed_sync_is_final():
    """Guards against a retried sync that succeeds without the data."""
    for fail_in in range(3):
        disk = _created()
        store, _ = _opened(disk)
        disk.fail_sync_in = fail_in
        acknowledged = 0
        for i in range(1, 6):
            try:
                store.persist(persist.Persist(1, "", 0, _entries(i, i)))
                acknowledged = i
            except exceptions.StorageError as exc:
                assert exc.step and exc.path
                disk.fail_sync_in = None
        assert acknowledged == fail_in
        assert len(_crashed(disk)[1].entries) >= acknowledged


def test_snapshot_survives_a_crash_at_every_point():
    """Guards against a lost tail, a lost snapshot or a log that conflicts with it."""
    for keep_log in (True, False):
        for crash_in in range(16):
            disk = _created()
            store, _ = _opened(disk)
            store.persist(persist.Persist(1, "", 0, _entries(1, 6)))
            store, _ = _opened(disk)
            store.persist(persist.Persist(2, "c#1", 0))
            made = snapshot.Snapshot(4, 1 if keep_log else 2, MEMBERS, b"state")
            disk.crash_in = crash_in
            is_done = False
            try:
                store.save_snapshot(save_snapshot.SaveSnapshot(made, keep_log))
                is_done = True
            except fake_disk.Crashed:
                pass
            store, state = _crashed(disk, crash_in)
            assert (state.term, state.vote) == (2, "c#1")
            assert state.snapshot == made or not is_done
            if state.snapshot.index == 0:
                assert state.entries == _entries(1, 6)
            elif not keep_log:
                assert state.entries == ()
                store.persist(persist.Persist(2, "", 0, _entries(5, 5, 2)))
                assert _crashed(disk)[1].entries == _entries(5, 5, 2)
            else:
                assert state.entries == _entries(5, 6)


def test_old_segments_are_removed_by_a_snapshot():
    """Guards against a data folder that grows without bound."""
    disk = _created()
    store, _ = _opened(disk)
    big = b"x" * (segments.SEGMENT_BYTES // 2)
    for i in range(1, 7):
        big_entry = entry.Entry(i, 1, entry_kind.EntryKind.DATA, big)
        store.persist(persist.Persist(1, "", 0, (big_entry,)))
    before = len(disk.list_files())
    made = snapshot.Snapshot(6, 1, MEMBERS, b"state")
    store.save_snapshot(save_snapshot.SaveSnapshot(made, True))
    assert before > 4
    assert len(disk.list_files()) == 3
    assert _crashed(disk)[1].entries == ()


def test_log_is_complete_after_the_disk_was_full():
    """Guards against a lost entry, and against files that accumulate meanwhile."""
    for creates in (False, True):
        _fill(creates)


def _fill(creates):
    disk = _created()
    disk.creates_when_full = creates
    store, _ = _opened(disk)
    store.persist(persist.Persist(1, "", 0, _entries(1, 3)))
    disk.is_full = True
    with unittest.TestCase().assertRaises(exceptions.DiskFullError):
        store.persist(persist.Persist(1, "", 0, _entries(4, 4)))
    for _ in range(5):
        with unittest.TestCase().assertRaises(exceptions.DiskFullError):
            _opened(disk)
    assert len([n for n in disk.list_files() if n.startswith("log-")]) <= 2
    disk.is_full = False
    store, state = _opened(disk)
    assert state.entries == _entries(1, 3)
    store.persist(persist.Persist(1, "", 0, _entries(4, 4)))
    assert _crashed(disk)[1].entries == _entries(1, 4)


def test_lack_of_space_is_reported_as_its_own_error():
    """Guards against a process that ends although space may come back."""
    with tempfile.TemporaryDirectory() as folder:
        files = folder_disk.FolderDisk(pathlib.Path(folder))
        for number, kind in (
            (errno.ENOSPC, exceptions.DiskFullError),
            (errno.EIO, OSError),
        ):
            failing = mock.patch("os.write", side_effect=OSError(number, "no"))
            with failing, unittest.TestCase().assertRaises(kind):
                files.append("log-1", b"x")
        files.close()


load_tests = fixtures.load_functions(globals())
