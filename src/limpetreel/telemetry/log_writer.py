"""Log lines in JSON."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_DEFERRED_LINES = 1000
"""Lines that wait for the log library; a start writes some ten."""
LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
_REMOVED = "(secret)"


class Stream(Protocol):
    """Where log lines go."""

    def write(self, data: bytes, /) -> object:
        """Append data."""

    def flush(self) -> object:
        """Hand buffered data to the operating system."""


class LogWriter:
    """Writes the log messages of one process as JSON lines.

    Parameters
    ----------
    node : str
        Name of the process.
    role : str
        Its role.
    level : str
        Lowest level that is written, a key of `LEVELS`.
    stream : Stream
        Where the lines go.
    secrets : tuple of str
        Values that are replaced wherever they appear in a line.
    is_deferred : bool
        Whether lines wait for `open`. The log library takes a third of the time of a
        start, and a process that comes back under load shall serve first.
    """

    def __init__(
        self,
        node: str,
        role: str,
        level: str,
        stream: Stream,
        secrets: tuple[str, ...] = (),
        is_deferred: bool = False,
    ) -> None:
        self._node = node
        self._role = role
        self._lowest = LEVELS[level]
        self._stream = stream
        self._secrets = tuple(s for s in secrets if s)
        self._deferred: list[dict[str, Any]] = []
        self._left_out = 0
        self._emit: Callable[..., None] | None = None
        if not is_deferred:
            self.open()

    def open(self) -> None:
        """Load the log library and write the lines that have waited."""
        if self._emit is not None:
            return
        import eliot

        eliot.add_destinations(self._write)
        self._emit = eliot.log_message
        for fields in self._deferred:
            eliot.log_message(**fields)
        self._deferred = []
        if self._left_out:
            fields = {"left_out": self._left_out}
            self.log("warning", "log.deferred", "", fields)

    def log(self, level: str, step: str, peer: str, fields: dict[str, Any]) -> None:
        """Write one line, unless its level is too low.

        Parameters
        ----------
        level : str
            A key of `LEVELS`.
        step : str
            What was being done, such as ``frame.decode``.
        peer : str
            The other side, empty if there is none.
        fields : dict
            Further values.
        """
        if LEVELS[level] < self._lowest:
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
            self._left_out += 1

    def flush(self) -> None:
        """Hand buffered lines to the operating system."""
        self._stream.flush()

    def close(self) -> None:
        """Stop to write."""
        self.open()
        import eliot

        eliot.remove_destination(self._write)
        self._stream.flush()

    def _write(self, message: dict[str, Any]) -> None:
        # Destinations of eliot are shared by the whole process, which in tests
        # holds several nodes.
        if message.get("node") != self._node or message.get("role") != self._role:
            return
        cleaned = {key: self._clean(value) for key, value in message.items()}
        self._stream.write(msgspec.json.encode(cleaned, enc_hook=str) + b"\n")

    def _clean(self, value: Any) -> Any:
        if isinstance(value, int | float) or value is None:
            return value
        if isinstance(value, list):
            return [self._clean(item) for item in value]
        text = str(value)
        for secret in self._secrets:
            text = text.replace(secret, _REMOVED)
        # Text from the command line can hold bytes that UTF-8 cannot express.
        return text.encode("utf-8", "backslashreplace").decode()
