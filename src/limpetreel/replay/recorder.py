"""Writer of a decision log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limpetreel.core import failure
from limpetreel.replay import (
    checkpoint,
    core_state,
    event_kind,
    record_codec,
    recorded_event,
)

if TYPE_CHECKING:
    from limpetreel.core import core
    from limpetreel.replay import event_filter, header
    from limpetreel.telemetry import rotating_file

_ENCODER = msgspec.msgpack.Encoder()


class Recorder:
    """Appends decisions to a file of bounded size.

    Every file begins with the header and the state of the core, so that it can be
    replayed without earlier files.

    Parameters
    ----------
    file : RotatingFile
        The file.
    file_header : Header
        Header of every file.
    target : Core
        The core.
    selection : EventFilter
        Selects the events that are recorded.
    state : bytes
        State of the core; empty if it is as the factory builds it from the header.
    """

    def __init__(
        self,
        file: rotating_file.RotatingFile,
        file_header: header.Header,
        target: core.Core,
        selection: event_filter.EventFilter,
        state: bytes = b"",
    ) -> None:
        self._file = file
        self._header = file_header
        self._core = target
        self._filter = selection
        self._kind_numbers: dict[type, int] = {}
        self._skipped = 0
        self._remaining_bytes = 0
        self.problem: failure.Failure | None = None
        self._begin_file(state)

    def record(
        self, now: float, event: msgspec.Struct, actions: list[msgspec.Struct]
    ) -> None:
        """Record one decision unless the filter leaves it out.

        Parameters
        ----------
        now : float
            Time that the core was given.
        event : msgspec.Struct
            Event that the core was given.
        actions : list of msgspec.Struct
            Actions that the core returned.
        """
        if self.problem is not None:
            return
        if not self._filter.is_kept(event, actions):
            self._skipped += self._filter.is_counted(event, actions)
            return
        number = self._kind_numbers.get(type(event))
        if number is None:
            number = self._add_kind(type(event))
        record = recorded_event.RecordedEvent(
            now=now,
            kind=number,
            event=_ENCODER.encode(event),
            digest=record_codec.digest(actions),
            skipped=self._skipped,
        )
        self._skipped = 0
        data = record_codec.encode(record)
        self._file.append(data)
        self._remaining_bytes -= len(data)
        if self._remaining_bytes < 0:
            self._begin_next_file()

    def flush(self) -> None:
        """Hand buffered records to the operating system."""
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def _add_kind(self, kind: type) -> int:
        number = len(self._kind_numbers)
        self._kind_numbers[kind] = number
        name = f"{kind.__module__}:{kind.__qualname__}"
        self._file.append(record_codec.encode(event_kind.EventKind(number, name)))
        return number

    def _begin_next_file(self) -> None:
        state = core_state.save(self._core)
        if isinstance(state, failure.Failure):
            self.problem = state
            return
        self._begin_file(state)

    def _begin_file(self, state: bytes) -> None:
        self._file.rotate()
        self._kind_numbers.clear()
        first = record_codec.encode(self._header)
        second = record_codec.encode(checkpoint.Checkpoint(state))
        self._file.append(record_codec.MAGIC + first + second)
        # The state does not count towards the limit, since a state larger than the
        # limit would begin a new file with every event.
        self._remaining_bytes = self._file.limit
