"""Log file with rotation by size."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, BinaryIO

if TYPE_CHECKING:
    import pathlib

BUFFER_BYTES = 65536
PREVIOUS_SUFFIX = ".1"


class RotatingFile:
    """Appends to a file and starts a new one when it reaches its size limit.

    One previous file is kept with the suffix ``.1``, so that both together take at
    most twice the limit. A failed write is counted and its data is dropped: a full
    disk must not stop a node that needs no disk to serve.

    Parameters
    ----------
    path : pathlib.Path
        Path of the current file.
    limit : int
        Size in bytes that a file does not exceed, unless one write is larger.
    """

    def __init__(self, path: pathlib.Path, limit: int) -> None:
        self._path = path
        self.limit = limit
        self._stream: BinaryIO | None = None
        self._size = 0
        self.write_errors = 0

    def write(self, data: bytes, /) -> int:
        """Append data, in a new file if the current one is full.

        Returns the number of bytes, 0 if they could not be written.
        """
        if self._size and self._size + len(data) > self.limit:
            self.rotate()
        return self.append(data)

    def append(self, data: bytes) -> int:
        """Append data to the current file without rotation, even beyond the limit.

        Returns as `write` does.
        """
        try:
            if self._stream is None:
                self._open()
            if self._stream is not None:
                self._stream.write(data)
                self._size += len(data)
                return len(data)
        except OSError:
            self.write_errors += 1
        return 0

    def rotate(self) -> None:
        """Rename the current file to the previous one and start a new file."""
        try:
            self._close_stream()
            if self._path.exists():
                os.replace(self._path, f"{self._path}{PREVIOUS_SUFFIX}")
            self._open()
        except OSError:
            self.write_errors += 1

    def flush(self) -> None:
        """Flush buffered data to the operating system."""
        try:
            if self._stream is not None:
                self._stream.flush()
        except OSError:
            self.write_errors += 1

    def close(self) -> None:
        """Flush and close the file."""
        try:
            self._close_stream()
        except OSError:
            self.write_errors += 1

    def _open(self) -> None:
        self._stream = open(  # noqa: SIM115 - open for the life of the process
            self._path, "ab", buffering=BUFFER_BYTES, opener=_open_private
        )
        self._size = self._stream.tell()

    def _close_stream(self) -> None:
        stream, self._stream = self._stream, None
        self._size = 0
        if stream is not None:
            stream.close()


def _open_private(path: str, flags: int) -> int:
    """Restrict access to the owner: a decision log contains packets of callers."""
    return os.open(path, flags, 0o600)
