"""Command that creates a zone."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from limpetreel.catalog import zone_record
from limpetreel.catalog.commands import operator_command

if TYPE_CHECKING:
    from limpetreel.catalog import result, state


class ZoneCreate(
    operator_command.OperatorCommand, frozen=True, kw_only=True, tag="zone_create"
):
    """Create a zone in service.

    Attributes
    ----------
    region : str
        Region that the zone belongs to.
    """

    region: str

    def current(self, target: state.State) -> zone_record.ZoneRecord | None:
        """Return the live zone of this name, or None."""
        return target.table.zone(self.name)

    def new_values(self) -> dict[str, Any]:
        """Return the region."""
        return {"region": self.region}

    def change(self, index: int, target: state.State) -> result.Result:
        """Create the zone."""
        record = zone_record.ZoneRecord(self.name, self.region, True, index)
        target.table.put(record)
        return self.applied(index)
