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
    log_entry = entry.Entry(1, 2, entry_kind.EntryKind.DATA, b"x")
    store.persist(persist.Persist(2, "b", 0, (log_entry,)))
    state = log_store.LogStore(files).recover()
    assert state is not None
    assert (state.term, state.vote, state.entries) == (2, "b", (log_entry,))
