"""Command that brings a zone back into service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from limpetreel.catalog.commands import operator_command

if TYPE_CHECKING:
    from limpetreel.catalog import result, state, zone_record


class ZoneIn(
    operator_command.OperatorCommand, frozen=True, kw_only=True, tag="zone_in"
):
    """Bring a zone back into service."""

    def current(self, target: state.State) -> zone_record.ZoneRecord | None:
        """Return the live zone of this name, or None."""
        return target.table.zone(self.name)

    def new_values(self) -> dict[str, Any]:
        """Return the state of the zone after the command."""
        return {"serving": True}

    def change(self, index: int, target: state.State) -> result.Result:
        """Bring the zone back."""
        old = self.current(target)
        if old is None:
            return self.refused(f"zone {self.name} does not exist")
        target.table.put(msgspec.structs.replace(old, serving=True, modified=index))
        return self.applied(index)
