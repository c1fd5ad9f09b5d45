"""Child process of the kill test: appends entries and prints what is durable."""

from __future__ import annotations

import pathlib
import sys

from limpetreel.consensus import entry, entry_kind, snapshot
from limpetreel.consensus.actions import persist, save_snapshot
from limpetreel.storage import folder_disk, log_store

SNAPSHOT_EVERY = 50


def main():
    store = log_store.LogStore(folder_disk.FolderDisk(pathlib.Path(sys.argv[1])))
    state = store.recover()
    index = state.snapshot.index + len(state.entries)
    while True:
        index += 1
        log_entry = entry.Entry(index, 1, entry_kind.EntryKind.DATA, b"%d" % index)
        store.persist(persist.Persist(1, "", 0, (log_entry,)))
        if index % SNAPSHOT_EVERY == 0:
            made = snapshot.Snapshot(index, 1, state.snapshot.members, b"")
            store.save_snapshot(save_snapshot.SaveSnapshot(made, True))
        print(index, flush=True)


if __name__ == "__main__":
    main()
