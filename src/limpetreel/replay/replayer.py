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
    """Runs a new core on the events of a log and compares its decisions.

    Parameters
    ----------
    build : callable
        Returns the core that a header describes.
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
        for record in records:
            if isinstance(record, failure.Failure):
                is_torn = record.reason is reason.Reason.TRUNCATED
                problem = "" if is_torn else str(record)
                return outcome.Outcome(agreed, problem=problem, is_torn=is_torn)
            if isinstance(record, event_kind.EventKind):
                self._add_kind(record)
                continue
            if not isinstance(record, recorded_event.RecordedEvent):
                return outcome.Outcome(
                    agreed, problem="unexpected second header or checkpoint"
                )
            event = self._decode_event(record)
            if isinstance(event, failure.Failure):
                return outcome.Outcome(agreed, problem=str(event))
            difference = _describe_difference(target, record, event, agreed)
            if difference:
                return outcome.Outcome(agreed, difference)
            agreed += 1
        return outcome.Outcome(agreed)

    def _start(
        self, records: Iterator[record_codec.Record | failure.Failure]
    ) -> core.Core | failure.Failure:
        """Return the core in the state with which the log begins."""
        first, second = next(records, None), next(records, None)
        for record in (first, second):
            if isinstance(record, failure.Failure):
                return record
        if not isinstance(first, header.Header):
            return failure.Failure(reason.Reason.CORRUPT, "replay.start", "header")
        if not isinstance(second, checkpoint.Checkpoint):
            return failure.Failure(reason.Reason.CORRUPT, "replay.start", "checkpoint")
        if second.state:
            return core_state.load(second.state)
        return self._build(first)

    def _add_kind(self, record: event_kind.EventKind) -> None:
        module, _, name = record.name.partition(":")
        event_type = known_type.find(module, name)
        if event_type is not None and issubclass(event_type, msgspec.Struct):
            self._decoders[record.number] = msgspec.msgpack.Decoder(event_type)

    def _decode_event(
        self, record: recorded_event.RecordedEvent
    ) -> msgspec.Struct | failure.Failure:
        decoder = self._decoders.get(record.kind)
        if decoder is None:
            return failure.Failure(
                reason.Reason.UNKNOWN_KIND, "replay.event", f"kind {record.kind}"
            )
        try:
            return decoder.decode(record.event)
        except (msgspec.DecodeError, RecursionError) as exc:
            return failure.Failure(
                reason.Reason.MALFORMED, "replay.event", detail=str(exc)
            )


def _describe_difference(
    target: core.Core,
    record: recorded_event.RecordedEvent,
    event: msgspec.Struct,
    number: int,
) -> str:
    """Return how the decision differs from the recorded one, empty if it agrees."""
    if record.skipped:
        # Only the logs of entries leave packets out.
        target.skip_packets(record.skipped)  # type: ignore[attr-defined]
    try:
        actions = target.handle(record.now, event)
    # Any exception is a difference, since the recorded core returned actions.
    except Exception as exc:
        return f"event {number} at {record.now:.6f} s: {event!r} raised {exc!r}"
    digest = record_codec.digest(actions)
    if digest == record.digest:
        return ""
    return (
        f"event {number} at {record.now:.6f} s: {event!r}\n"
        f"recorded digest {record.digest:016x}, now {digest:016x}\n"
        f"actions now: {actions!r}"
    )
