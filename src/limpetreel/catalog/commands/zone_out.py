"""Command that takes a zone out of service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from limpetreel.catalog.commands import operator_command, targets

if TYPE_CHECKING:
    from limpetreel.catalog import result, state, zone_record

MAX_CLASSES_SHOWN = 5


class ZoneOut(
    operator_command.OperatorCommand, frozen=True, kw_only=True, tag="zone_out"
):
    """Take a zone out of service.

    Attributes
    ----------
    force : bool
        Take the zone out even if classes are left without a zone. Operators must
        always be able to do so, for example when the zone is unsafe; the refusal
        without `force` protects against doing it by mistake.
    """

    force: bool = False

    def current(self, target: state.State) -> zone_record.ZoneRecord | None:
        """Return the live zone of this name, or None."""
        return target.table.zone(self.name)

    def new_values(self) -> dict[str, Any]:
        """Return the state of the zone after the command."""
        return {"serving": False}

    def change(self, index: int, target: state.State) -> result.Result:
        """Take the zone out, or refuse if a class is left without a zone."""
        old = self.current(target)
        if old is None:
            return self.refused(f"zone {self.name} does not exist")
        left = targets.classes_without_zone(self.name, target.table)
        detail = " | ".join(left[:MAX_CLASSES_SHOWN])
        if len(left) > MAX_CLASSES_SHOWN:
            detail += f" | and {len(left) - MAX_CLASSES_SHOWN} more classes"
        if left and not self.force:
            return self.refused(f"{detail}; force takes the zone out all the same")
        target.table.put(msgspec.structs.replace(old, serving=False, modified=index))
        return self.applied(index, detail)
