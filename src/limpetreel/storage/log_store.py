"""Durable state of the replicated log."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, TypeVar

import msgspec

from limpetreel import exceptions
from limpetreel.consensus import durable_state, founding_record, snapshot
from limpetreel.consensus.actions import persist
from limpetreel.storage import marker, record_codec, replayed_log, segments

if TYPE_CHECKING:
    from collections.abc import Iterator

    from limpetreel.consensus import member
    from limpetreel.consensus.actions import save_snapshot
    from limpetreel.storage import disk

MARKER_FILE = "identity"
SNAPSHOT_FILE = "snapshot"
FOUNDING_FILE = "founding"
TEMPORARY_SUFFIX = ".tmp"

_ENCODER = msgspec.msgpack.Encoder()
_Kind = TypeVar("_Kind")


class LogStore:
    """Log, term, vote and snapshot in one data folder.

    Each write is synced before the method returns. The first error is final: the
    kernel may drop unsynced pages after a failed sync, so a second sync that
    succeeds proves nothing, and the store refuses all further work. A write that finds
    no space (`DiskFullError`) has not reached a sync; a new store may recover the
    folder then.

    Parameters
    ----------
    files : Disk
        The data folder.
    """

    def __init__(self, files: disk.Disk) -> None:
        self._disk = files
        self._segments = segments.Segments(files)
        self._term = 0
        self._vote = ""
        self._is_failed = False

    def create(
        self,
        name: str,
        incarnation: int,
        members: tuple[member.Member, ...],
        folder: int = 0,
    ) -> None:
        """Initialise an unused data folder.

        It is called only on an operator's command, never because a folder is empty:
        an empty folder may as well be a lost one.

        Parameters
        ----------
        name : str
            Name of the instance.
        incarnation : int
            Number of the data folder: milliseconds since 1970, or 1 for all first
            members of a new group. Never that of a lost folder.
        members : tuple of Member
            First members of a new group; empty to join one.
        folder : int
            Random number of the data folder.

        Raises
        ------
        StorageError
            If the folder is already initialised or cannot be written.
        """
        if self._read_marker() is not None:
            raise exceptions.StorageError(
                "log_store.create",
                "data folder is already initialised",
                path=MARKER_FILE,
            )
        with self._fail_permanently("log_store.create"):
            for leftover in self._disk.list_files():
                self._disk.remove(leftover)
            self._disk.sync_folder()
            self._segments.start(persist.Persist(0, ""))
            mark = marker.Marker(name, incarnation, members, folder)
            self._replace(MARKER_FILE, _ENCODER.encode(mark))

    def recover(self) -> durable_state.DurableState | None:
        """Read the durable state, and cut off a write that a crash interrupted.

        Returns
        -------
        DurableState or None
            None if the folder has not been initialised, or was lost.

        Raises
        ------
        CorruptError
            If data is damaged or missing that had been synced.
        """
        mark = self._read_marker()
        if mark is None:
            return None
        with self._fail_permanently("log_store.recover"):
            base = self._read_snapshot(mark)
            founding = self._read_founding()
            log = replayed_log.ReplayedLog()
            for record in self._segments.recover():
                log.replay(record)
            entries, is_discarded = log.entries_after(base)
            self._term, self._vote = log.term, log.vote
            self._start_segment(is_discarded)
        return durable_state.DurableState(
            mark.name,
            mark.incarnation,
            log.term,
            log.vote,
            base,
            entries,
            mark.folder,
            mark.members,
            founding,
        )

    def persist(self, action: persist.Persist) -> None:
        """Make a change of the term, the vote or the log durable.

        Raises
        ------
        StorageError
            If a write or sync fails; the instance must stop.
        """
        with self._fail_permanently("log_store.persist"):
            self._term, self._vote = action.term, action.vote
            if self._segments.is_full():
                self._start_segment(is_log_discarded=False)
            self._segments.append(action)

    def save_snapshot(self, action: save_snapshot.SaveSnapshot) -> None:
        """Make a snapshot durable, then remove the log that it replaces.

        Raises
        ------
        StorageError
            If a write or sync fails; the instance must stop.
        """
        with self._fail_permanently("log_store.save_snapshot"):
            self._replace(SNAPSHOT_FILE, _ENCODER.encode(action.snapshot))
            self._start_segment(is_log_discarded=not action.keep_log)
            if action.keep_log:
                self._segments.remove_up_to(action.snapshot.index)
            else:
                self._segments.remove_all_but_last()

    def save_founding(self, record: founding_record.FoundingRecord) -> None:
        """Make the founding record durable.

        Raises
        ------
        StorageError
            If a write or sync fails; the instance must stop.
        """
        with self._fail_permanently("log_store.save_founding"):
            self._replace(FOUNDING_FILE, _ENCODER.encode(record))

    def close(self) -> None:
        """Release the data folder."""
        self._disk.close()

    def _start_segment(self, is_log_discarded: bool) -> None:
        # Each segment starts with the term and vote, so that older ones can go.
        truncate_from = 1 if is_log_discarded else 0
        self._segments.start(persist.Persist(self._term, self._vote, truncate_from))

    def _read_marker(self) -> marker.Marker | None:
        with self._fail_permanently("log_store.recover"):
            names = self._disk.list_files()
            if MARKER_FILE in names:
                return self._read_record(MARKER_FILE, marker.Marker)
            used = [n for n in names if not n.endswith(TEMPORARY_SUFFIX)]
            # An interrupted creation leaves at most the first, empty segment.
            if SNAPSHOT_FILE in used or self._segments.has_entries(used):
                raise exceptions.CorruptError(
                    "log_store.recover", "log without its marker", path=MARKER_FILE
                )
            return None

    def _read_snapshot(self, mark: marker.Marker) -> snapshot.Snapshot:
        if SNAPSHOT_FILE not in self._disk.list_files():
            return snapshot.Snapshot(0, 0, mark.members)
        return self._read_record(SNAPSHOT_FILE, snapshot.Snapshot)

    def _read_founding(self) -> founding_record.FoundingRecord:
        if FOUNDING_FILE not in self._disk.list_files():
            return founding_record.FoundingRecord()
        return self._read_record(FOUNDING_FILE, founding_record.FoundingRecord)

    def _read_record(self, name: str, kind: type[_Kind]) -> _Kind:
        payload = record_codec.decode(self._disk.read(name), name, 0)
        if payload is None:
            raise exceptions.CorruptError(
                "log_store.recover", "wrong checksum", path=name
            )
        return msgspec.msgpack.decode(payload, type=kind)

    def _replace(self, name: str, payload: bytes) -> None:
        """Replace a file so that a crash leaves the old or the new content."""
        temporary = name + TEMPORARY_SUFFIX
        if temporary in self._disk.list_files():
            self._disk.remove(temporary)
        self._disk.append_whole(temporary, record_codec.encode(payload, name, 0))
        self._disk.sync(temporary)
        self._disk.rename(temporary, name)
        self._disk.sync_folder()

    @contextlib.contextmanager
    def _fail_permanently(self, step: str) -> Iterator[None]:
        if self._is_failed:
            raise exceptions.StorageError(
                step, "stopped by an earlier error", path=self._segments.last_name
            )
        try:
            yield
        except OSError as exc:
            self._is_failed = True
            path = str(exc.filename or self._segments.last_name)
            raise exceptions.StorageError(step, str(exc), path=path) from exc
        except exceptions.StorageError:
            self._is_failed = True
            raise
