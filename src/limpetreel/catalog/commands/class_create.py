"""Command that creates a class."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from limpetreel.catalog import class_record
from limpetreel.catalog.commands import operator_command, targets

if TYPE_CHECKING:
    from limpetreel.catalog import result, state


class ClassCreate(
    operator_command.OperatorCommand, frozen=True, kw_only=True, tag="class_create"
):
    """Create a class; control chooses its number and port.

    Attributes
    ----------
    capacity, answer_ms, zones
        Targets, as in `class_record.ClassRecord`.
    """

    capacity: int
    answer_ms: int
    zones: tuple[str, ...] = ()

    def current(self, target: state.State) -> class_record.ClassRecord | None:
        """Return the live class of this name, or None."""
        return target.table.class_by_name(self.name)

    def new_values(self) -> dict[str, Any]:
        """Return the targets."""
        return {
            "capacity": self.capacity,
            "answer_ms": self.answer_ms,
            "zones": self.zones,
        }

    def change(self, index: int, target: state.State) -> result.Result:
        """Create the class, or refuse impossible targets."""
        problem = targets.check_figures(self.capacity, self.answer_ms)
        problem = problem or targets.check_zones(self.name, self.zones, target.table)
        if problem:
            return self.refused(problem)
        if target.ports is None:
            return self.refused("no port range: the bootstrap entry is missing")
        port = target.ports.allocate()
        if port is None:
            size = target.ports.last - target.ports.first + 1
            return self.refused(f"all {size} ports of the range are in use")
        record = class_record.ClassRecord(
            class_id=target.next_class_id,
            name=self.name,
            capacity=self.capacity,
            answer_ms=self.answer_ms,
            zones=self.zones,
            port=port,
            modified=index,
        )
        target.next_class_id += 1
        target.table.put(record)
        return self.applied(index)
