"""Segment files of the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limpetreel import exceptions
from limpetreel.consensus.actions import persist
from limpetreel.storage import record_codec

if TYPE_CHECKING:
    from collections.abc import Callable

    from limpetreel.storage import disk

SEGMENT_BYTES = 4 * 1024 * 1024
PREFIX = "log-"

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(persist.Persist)


class Segments:
    """Numbered files of records, of which the last one grows.

    One record holds one whole `Persist` action and is synced before the next is
    written. A crash can therefore damage the last record only, and a damaged record
    with a valid one after it is not the result of a crash. If the medium damages the
    very last record after its sync, it cannot be distinguished from a torn one and is
    cut.

    Parameters
    ----------
    files : Disk
        The data folder.
    """

    def __init__(self, files: disk.Disk) -> None:
        self._disk = files
        self._numbers: list[int] = []
        self._last_entries: dict[int, int] = {}
        self._size = 0

    @property
    def last_name(self) -> str:
        """Return the file that grows, empty if there is none yet."""
        return _name(self._numbers[-1]) if self._numbers else ""

    def recover(self) -> list[persist.Persist]:
        """Return all records in order and cut off a torn one at the end."""
        names = [n for n in self._disk.list_files() if n.startswith(PREFIX)]
        self._numbers = [int(n.removeprefix(PREFIX)) for n in names]
        if not names:
            raise _corrupt(PREFIX, "no log file")
        first = self._numbers[0]
        if self._numbers != list(range(first, first + len(names))):
            raise _corrupt(PREFIX, "a log file is missing")
        records = []
        for number in self._numbers:
            segment_records = self._recover_one(number)
            self._last_entries[number] = _last_entry(segment_records)
            records.extend(segment_records)
        if not records:
            raise _corrupt(names[0], "no record")
        return records

    def has_entries(self, names: list[str]) -> bool:
        """Return whether any of the files is a segment with log entries."""
        for name in names:
            if name.startswith(PREFIX):
                payloads, _ = record_codec.decode_all(self._disk.read(name), name)
                if _last_entry([_DECODER.decode(p) for p in payloads]):
                    return True
        return False

    def start(self, header: persist.Persist) -> None:
        """Start the next segment; older ones are complete from now on."""
        number = self._numbers[-1] + 1 if self._numbers else 1
        self._numbers.append(number)
        self._last_entries[number] = 0
        self._size = 0
        # Each attempt to open the log starts a segment; empty ones would accumulate.
        self._write(header, self._disk.append_whole)
        self._disk.sync_folder()

    def append(self, record: persist.Persist) -> None:
        """Write a record and make it durable."""
        self._write(record, self._disk.append)

    def _write(
        self, record: persist.Persist, write: Callable[[str, bytes], None]
    ) -> None:
        number = self._numbers[-1]
        name = _name(number)
        data = record_codec.encode(_ENCODER.encode(record), name, self._size)
        write(name, data)
        self._disk.sync(name)
        self._size += len(data)
        self._last_entries[number] = max(
            self._last_entries[number], _last_entry([record])
        )

    def is_full(self) -> bool:
        """Return whether the last segment has reached its size."""
        return self._size >= SEGMENT_BYTES

    def remove_up_to(self, index: int) -> None:
        """Remove the oldest segments that hold no entry after `index`."""
        while len(self._numbers) > 1 and self._last_entries[self._numbers[0]] <= index:
            self._remove_first()

    def remove_all_but_last(self) -> None:
        """Remove every segment that is complete."""
        while len(self._numbers) > 1:
            self._remove_first()

    def _remove_first(self) -> None:
        number = self._numbers.pop(0)
        del self._last_entries[number]
        self._disk.remove(_name(number))
        # Synced one by one, so that a crash leaves no gap in the numbers.
        self._disk.sync_folder()

    def _recover_one(self, number: int) -> list[persist.Persist]:
        name = _name(number)
        data = self._disk.read(name)
        payloads, end = record_codec.decode_all(data, name)
        if end < len(data):
            is_last = number == self._numbers[-1]
            if not is_last or record_codec.has_record_after(data, name, end):
                raise _corrupt(name, f"damaged record at byte {end}")
            self._disk.truncate(name, end)
        # A killed process leaves records that are readable but were never synced.
        self._disk.sync(name)
        return [_DECODER.decode(p) for p in payloads]


def _name(number: int) -> str:
    return f"{PREFIX}{number:016d}"


def _last_entry(records: list[persist.Persist]) -> int:
    return max((e.index for r in records for e in r.entries), default=0)


def _corrupt(name: str, detail: str) -> exceptions.CorruptError:
    return exceptions.CorruptError("segments.recover", detail, path=name)
