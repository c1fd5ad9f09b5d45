"""Log lines in JSON."""

from __future__ import annotations

import importlib
import time
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from limpetreel.runtime import lean_imports

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

MAX_DEFERRED_LINES = 1000
"""Bound on the lines kept until the log library is loaded; a start writes about ten."""
LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
_LIBRARY_PARTS = ("orjson", "pyrsistent", "zope.interface", "boltons.funcutils")
"""Libraries that the log library imports, of about a fifth of its time each."""
_REDACTED = "(secret)"


class Stream(Protocol):
    """Destination of log lines."""

    def write(self, data: bytes, /) -> int:
        """Append data; return the number of bytes, 0 if it was left out."""

    def flush(self) -> object:
        """Flush buffered data to the operating system."""


class LogWriter:
    """Writes the log messages of one process as JSON lines.

    Its attribute `left_out` counts lines for which the stream had no room.

    Parameters
    ----------
    node : str
        Name of the process.
    role : str
        Role of the process.
    level : str
        Minimum level to write, a key of `LEVELS`.
    open_stream : callable
        Returns the destination of the lines; called once the first line is written.
    secrets : tuple of str
        Values that are redacted wherever they appear in a line.
    is_deferred : bool
        Whether lines are kept in memory until `open`. Loading the log library takes a
        third of the start-up time, and a process that restarts under load should
        serve before it logs.
    """

    def __init__(
        self,
        node: str,
        role: str,
        level: str,
        open_stream: Callable[[], Stream],
        secrets: tuple[str, ...] = (),
        is_deferred: bool = False,
    ) -> None:
        self._node = node
        self._role = role
        self._min_level = LEVELS[level]
        self._open_stream = open_stream
        self._stream: Stream | None = None
        self._secrets = tuple(s for s in secrets if s)
        self._deferred: list[dict[str, Any]] = []
        self._dropped_lines = 0
        self.left_out = 0
        self._reported_left_out = 0
        self._emit: Callable[..., None] | None = None
        if not is_deferred:
            self.open()

    def open_in_steps(self) -> Iterator[None]:
        """Do the same as `open` in steps between which packets can be handled.

        At once it takes 50 to 60 ms of processor time, half a second on 0.12 of a core.
        """
        yield from lean_imports.import_deferred_in_steps()
        for name in _LIBRARY_PARTS:
            importlib.import_module(name)
            yield
        self.open()

    def open(self) -> None:
        """Load the log library and write the deferred lines."""
        if self._emit is not None:
            return
        lean_imports.import_deferred()
        import eliot

        eliot.add_destinations(self._write)
        self._emit = eliot.log_message
        for fields in self._deferred:
            eliot.log_message(**fields)
        self._deferred = []
        if self._dropped_lines:
            fields = {"left_out": self._dropped_lines}
            self.log("warning", "log.deferred", "", fields)

    def log(self, level: str, step: str, peer: str, fields: dict[str, Any]) -> None:
        """Write one line, unless its level is below the minimum.

        Parameters
        ----------
        level : str
            A key of `LEVELS`.
        step : str
            Operation in progress, such as ``frame.decode``.
        peer : str
            Address or name of the peer, empty if there is none.
        fields : dict
            Additional fields of the line; a function is called when it is written.
        """
        if LEVELS[level] < self._min_level:
            return
        line = {
            "message_type": step,
            **fields,
            "level": level,
            "node": self._node,
            "role": self._role,
            "step": step,
            "peer": peer,
        }
        if self._emit is not None:
            self._emit(**line)
        elif len(self._deferred) < MAX_DEFERRED_LINES:
            self._deferred.append({**line, "at": time.time()})
        else:
            self._dropped_lines += 1

    def flush(self) -> None:
        """Flush buffered lines to the operating system."""
        self._report_left_out()
        if self._stream is not None:
            self._stream.flush()

    def close(self) -> None:
        """Write the deferred lines and stop logging."""
        self.open()
        import eliot

        eliot.remove_destination(self._write)
        self.flush()

    def _report_left_out(self) -> None:
        """Log how many lines were left out, once there is room for that line."""
        total = self.left_out
        if total > self._reported_left_out:
            fields = {"left_out": total - self._reported_left_out}
            self.log("warning", "log.output", "", fields)
            if self.left_out == total:
                self._reported_left_out = total
            self.left_out = total

    def _write(self, message: dict[str, Any]) -> None:
        # Destinations of eliot are global to the process; in tests, one process runs
        # several nodes.
        if message.get("node") != self._node or message.get("role") != self._role:
            return
        sanitized = {key: self._sanitize(value) for key, value in message.items()}
        if self._stream is None:
            self._stream = self._open_stream()
        line = msgspec.json.encode(sanitized, enc_hook=str) + b"\n"
        if not self._stream.write(line):
            self.left_out += 1

    def _sanitize(self, value: Any) -> Any:
        if callable(value):
            value = value()
        if isinstance(value, int | float) or value is None:
            return value
        if isinstance(value, list):
            return [self._sanitize(element) for element in value]
        text = str(value)
        for secret in self._secrets:
            text = text.replace(secret, _REDACTED)
        # Command-line arguments can contain bytes that are not valid UTF-8.
        return text.encode("utf-8", "backslashreplace").decode()
