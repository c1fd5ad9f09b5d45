"""Replay of a decision log."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from limpetreel.core import core, failure, reason
from limpetreel.replay import (
    checkpoint,
    core_state,
    event_kind,
    header,
    known_type,
    outcome,
    record_codec,
    recorded_event,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

Builder = Callable[[header.Header], core.Core | failure.Failure]


class Replayer:
    """Runs a new core on the events of a log and compares what it decides.

    Parameters
    ----------
    build : callable
        Returns the core of a header.
    """

    def __init__(self, build: Builder) -> None:
        self._build = build
        self._decoders: dict[int, msgspec.msgpack.Decoder[msgspec.Struct]] = {}

    def run(self, data: bytes) -> outcome.Outcome:
        """Replay a log up to its end or the first difference.

        Parameters
        ----------
        data : bytes
            Content of the file.
        """
        self._decoders.clear()
        records = record_codec.decode(data)
        target = self._start(records)
        if isinstance(target, failure.Failure):
            return outcome.Outcome(0, problem=str(target))
        agreed = 0
        for item in records:
            if isinstance(item, failure.Failure):
                torn = item.reason is reason.Reason.TRUNCATED
                problem = "" if torn else str(item)
                return outcome.Outcome(agreed, problem=problem, is_torn=torn)
            if isinstance(item, event_kind.EventKind):
                self._add_kind(item)
                continue
            if not isinstance(item, recorded_event.RecordedEvent):
                return outcome.Outcome(agreed, problem="unexpected second header")
            event = self._event(item)
            if isinstance(event, failure.Failure):
                return outcome.Outcome(agreed, problem=str(event))
            difference = _difference(target, item, event, agreed)
            if difference:
                return outcome.Outcome(agreed, difference)
            agreed += 1
        return outcome.Outcome(agreed)

    def _start(
        self, records: Iterator[record_codec.Record | failure.Failure]
    ) -> core.Core | failure.Failure:
        """Return the core in the state with which the log begins."""
        first, second = next(records, None), next(records, None)
        for item in (first, second):
            if isinstance(item, failure.Failure):
                return item
        if not isinstance(first, header.Header):
            return failure.Failure(reason.Reason.CORRUPT, "replay.start", "header")
        if not isinstance(second, checkpoint.Checkpoint):
            return failure.Failure(reason.Reason.CORRUPT, "replay.start", "checkpoint")
        if second.state:
            return core_state.load(second.state)
        return self._build(first)

    def _add_kind(self, item: event_kind.EventKind) -> None:
        module, _, name = item.name.partition(":")
        found = known_type.find(module, name)
        if found is not None and issubclass(found, msgspec.Struct):
            self._decoders[item.number] = msgspec.msgpack.Decoder(found)

    def _event(
        self, item: recorded_event.RecordedEvent
    ) -> msgspec.Struct | failure.Failure:
        decoder = self._decoders.get(item.kind)
        if decoder is None:
            return failure.Failure(
                reason.Reason.UNKNOWN_KIND, "replay.event", f"kind {item.kind}"
            )
        try:
            return decoder.decode(item.event)
        except (msgspec.DecodeError, RecursionError) as exc:
            return failure.Failure(
                reason.Reason.MALFORMED, "replay.event", detail=str(exc)
            )


def _difference(
    target: core.Core,
    item: recorded_event.RecordedEvent,
    event: msgspec.Struct,
    number: int,
) -> str:
    """Return how the decision differs from the recorded one, empty if it agrees."""
    if item.skipped:
        # Only the cores of entries leave packets out.
        target.skip_packets(item.skipped)  # type: ignore[attr-defined]
    try:
        actions = target.handle(item.now, event)
    # A core that raises differs from the recorded one, whatever the exception.
    except Exception as exc:
        return f"event {number} at {item.now:.6f} s: {event!r} raised {exc!r}"
    digest = record_codec.digest(actions)
    if digest == item.digest:
        return ""
    return (
        f"event {number} at {item.now:.6f} s: {event!r}\n"
        f"recorded digest {item.digest:016x}, now {digest:016x}\n"
        f"actions now: {actions!r}"
    )
