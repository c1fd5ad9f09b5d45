"""Command that deletes a class."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from limpetreel.catalog.commands import operator_command

if TYPE_CHECKING:
    from limpetreel.catalog import class_record, result, state


class ClassDelete(
    operator_command.OperatorCommand, frozen=True, kw_only=True, tag="class_delete"
):
    """Delete a class that has no agents left."""

    def current(self, target: state.State) -> class_record.ClassRecord | None:
        """Return the live class of this name, or None."""
        return target.table.class_by_name(self.name)

    def new_values(self) -> dict[str, Any]:
        """Return no field: a deletion sets none."""
        return {}

    def change(self, index: int, target: state.State) -> result.Result:
        """Leave a tombstone, or refuse while agents could still hold flows."""
        old = self.current(target)
        if old is None:
            return self.refused(f"class {self.name} does not exist")
        agents = target.table.agents_of(self.name)
        if agents:
            return self.refused(
                f"class {self.name} has {len(agents)} agents, which may hold flows; "
                f"a deletion requires 0"
            )
        target.table.put(msgspec.structs.replace(old, modified=index, removed=True))
        if target.ports is not None:
            target.ports.release(old.port)
        return self.applied(index)
