"""Output that never lets its writer wait."""

from __future__ import annotations

import atexit
import os
import select
import threading

MAX_BYTES = 1024 * 1024
"""Bytes that wait to be written; further lines are left out."""
CHUNK_BYTES = 65536
EAGER_BYTES = 16384
"""Bytes from which writing starts before the next flush."""
RETRY_SECONDS = 1.0
END_SECONDS = 0.5
"""Time limit for the last lines at the end of the process."""


class BackgroundStream:
    """Writes to a file descriptor in a thread of its own.

    The reader of a pipe may be slow, stand still or end. The mode of a descriptor is
    shared with all processes that hold it, so it is left as it is, and the thread may
    wait in a write. The thread ends with the process.

    Parameters
    ----------
    descriptor : int
        The file descriptor.
    max_bytes : int
        Bound on the bytes that wait.
    """

    def __init__(self, descriptor: int, max_bytes: int = MAX_BYTES) -> None:
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._waiting = bytearray()
        self._lock = threading.Lock()
        self._has_data = threading.Event()
        self._is_empty = threading.Event()
        self._is_empty.set()
        self._thread: threading.Thread | None = None
        self.errors = 0

    def write(self, data: bytes, /) -> int:
        """Append a line; return its length, or 0 if there is no room for it."""
        with self._lock:
            if len(self._waiting) + len(data) > self._max_bytes:
                return 0
            self._waiting += data
            self._is_empty.clear()
            is_due = len(self._waiting) >= EAGER_BYTES
        if is_due:
            self.flush()
        return len(data)

    def flush(self) -> None:
        """Let the thread write what waits; returns at once."""
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, daemon=True)
            self._thread.start()
            # A daemon thread is stopped wherever it is when the process ends.
            atexit.register(self.drain)
        self._has_data.set()

    def drain(self, seconds: float = END_SECONDS) -> bool:
        """Wait until all is written; return whether it was within the time limit."""
        self.flush()
        return self._is_empty.wait(seconds)

    def _run(self) -> None:
        while True:
            self._has_data.wait()
            self._has_data.clear()
            try:
                self._write_waiting()
            except BlockingIOError:
                # Another holder of the descriptor has made it non-blocking.
                select.select((), (self._descriptor,), (), RETRY_SECONDS)
                self._has_data.set()
            except OSError:
                # There is nowhere to log it. What waits is tried at the next flush.
                self.errors += 1

    def _write_waiting(self) -> None:
        while True:
            with self._lock:
                chunk = bytes(self._waiting[:CHUNK_BYTES])
                if not chunk:
                    self._is_empty.set()
                    return
            written = os.write(self._descriptor, chunk)
            with self._lock:
                del self._waiting[:written]
