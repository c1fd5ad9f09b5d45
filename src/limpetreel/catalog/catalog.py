"""State machine that the replicated log drives."""

from __future__ import annotations

import collections

import msgspec
import xxhash

from limpetreel.catalog import first_answer, port_pool, result, snapshot, state, status
from limpetreel.catalog.commands import command_codec, operator_command
from limpetreel.core import failure, reason

MAX_ANSWERS = 10_000
"""Answers kept for resent commands; four days of changes at the design size."""

MAX_TOMBSTONES = 10_000
"""Tombstones that are kept.

Names of replaced instances may never return, so without a limit the table would
grow with every replacement.
"""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(snapshot.Snapshot)


class Catalog:
    """Replicated state: table, class numbers, ports and first answers.

    Equal entries in equal order give equal snapshots, to the byte. The revision
    of the table rises only with entries that change a record, so that refused
    commands and empty entries cause no traffic to the nodes.
    """

    def __init__(self) -> None:
        self._state = state.State()
        self._answers: collections.OrderedDict[str, first_answer.FirstAnswer] = (
            collections.OrderedDict()
        )
        self.applied = 0

    @property
    def table(self) -> state.table.Table:
        """The table; the same object for the life of the catalog."""
        return self._state.table

    def apply(self, index: int, entry: bytes) -> result.Result:
        """Apply one log entry.

        Parameters
        ----------
        index : int
            Index of the entry, above that of the entry before.
        entry : bytes
            Encoded command; empty for an entry without a command.
        """
        if index <= self.applied:
            return result.Result(
                status.Status.REFUSED,
                detail=f"entry {index} is not after entry {self.applied}",
            )
        self.applied = index
        if not entry:
            return result.Result(status.Status.APPLIED)
        command = command_codec.decode(entry)
        if isinstance(command, failure.Failure):
            return result.Result(status.Status.REFUSED, detail=str(command))
        if isinstance(command, operator_command.OperatorCommand):
            return self._apply_once(index, command)
        return self._change(index, command)

    def snapshot(self) -> bytes:
        """Return all replicated state."""
        ports = self._state.ports
        table = self._state.table
        content = snapshot.Snapshot(
            applied=self.applied,
            revision=table.revision,
            floor=table.floor,
            next_class_id=self._state.next_class_id,
            port_range=(ports.first, ports.last, ports.next_unused) if ports else (),
            freed_ports=ports.freed if ports else (),
            records=tuple(table.changed_after(-1)),
            answers=tuple(self._answers.values()),
        )
        return _ENCODER.encode(content)

    def restore(self, data: bytes) -> failure.Failure | None:
        """Replace all state by that of a snapshot.

        Returns
        -------
        Failure or None
            Failure if the snapshot cannot be read; the state is then unchanged.
        """
        try:
            content = _DECODER.decode(data)
        except msgspec.DecodeError as exc:
            return failure.Failure(
                reason.Reason.CORRUPT, "catalog.restore", detail=str(exc)
            )
        self.applied = content.applied
        self._state.next_class_id = content.next_class_id
        self._state.table.replace(content.records, content.revision, content.floor)
        self._state.ports = None
        if content.port_range:
            first, last, next_unused = content.port_range
            self._state.ports = port_pool.PortPool(
                first, last, next_unused, content.freed_ports
            )
        self._answers.clear()
        self._answers.update((a.command_id, a) for a in content.answers)
        return None

    def _apply_once(
        self, index: int, command: command_codec.OperatorRequest
    ) -> result.Result:
        """Apply an operator command, or return the first answer to its id."""
        digest = xxhash.xxh3_128_digest(command_codec.encode(command))
        first = self._answers.get(command.command_id)
        if first is not None and first.digest == digest:
            return first.answer
        if first is not None:
            return result.Result(
                status.Status.REFUSED,
                command_id=command.command_id,
                detail=f"id {command.command_id} belongs to another command",
            )
        answer = self._change(index, command)
        self._answers[command.command_id] = first_answer.FirstAnswer(
            command.command_id, digest, answer
        )
        while len(self._answers) > MAX_ANSWERS:
            self._answers.popitem(last=False)
        return answer

    def _change(self, index: int, command: command_codec.Command) -> result.Result:
        table = self._state.table
        digest = table.digest
        answer = command.apply(index, self._state)
        if table.digest != digest:
            table.revision = index
            table.prune(MAX_TOMBSTONES)
        return answer
