"""Command that sets targets of a class."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from limpetreel.catalog.commands import operator_command, targets

if TYPE_CHECKING:
    from limpetreel.catalog import class_record, result, state


class ClassSet(
    operator_command.OperatorCommand, frozen=True, kw_only=True, tag="class_set"
):
    """Set targets of a class; None leaves a target as it is.

    Attributes
    ----------
    capacity, answer_ms, zones
        Targets, as in `class_record.ClassRecord`.
    """

    capacity: int | None = None
    answer_ms: int | None = None
    zones: tuple[str, ...] | None = None

    def current(self, target: state.State) -> class_record.ClassRecord | None:
        """Return the live class of this name, or None."""
        return target.table.class_by_name(self.name)

    def new_values(self) -> dict[str, Any]:
        """Return the targets that are set."""
        values = {
            "capacity": self.capacity,
            "answer_ms": self.answer_ms,
            "zones": self.zones,
        }
        return {name: value for name, value in values.items() if value is not None}

    def change(self, index: int, target: state.State) -> result.Result:
        """Set the targets, or refuse impossible ones."""
        old = self.current(target)
        if old is None:
            return self.refused(f"class {self.name} does not exist")
        new = msgspec.structs.replace(old, **self.new_values(), modified=index)
        problem = targets.check_figures(new.capacity, new.answer_ms)
        # After a forced zone-out, the other targets can still be set.
        if not problem and new.zones != old.zones:
            problem = targets.check_zones(self.name, new.zones, target.table)
        if problem:
            return self.refused(problem)
        target.table.put(new)
        return self.applied(index)
