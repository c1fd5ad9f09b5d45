"""Tests of the data folder of a machine without a disk."""

from __future__ import annotations

from limpetreel.consensus import entry, entry_kind
from limpetreel.consensus.actions import persist
from limpetreel.storage import log_store, memory_disk
from tests import fixtures

load_tests = fixtures.load_functions(globals())


def test_log_is_recovered_from_the_files_in_memory():
    """Guards against a control instance that cannot start without a disk."""
    files = memory_disk.MemoryDisk()
    store = log_store.LogStore(files)
    store.create("10.0.0.1", 7, ())
    store.recover()
    item = entry.Entry(1, 2, entry_kind.EntryKind.DATA, b"x")
    store.persist(persist.Persist(2, "b", 0, (item,)))
    found = log_store.LogStore(files).recover()
    assert found is not None
    assert (found.term, found.vote, found.entries) == (2, "b", (item,))
