"""Command ``zone list``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from limpetreel.console import table_command

if TYPE_CHECKING:
    import argparse
    from collections.abc import Sequence

    from limpetreel.catalog import table


class ZoneListCommand(table_command.TableCommand):
    """List zones."""

    name = "zone list"
    help = "list zones and whether they are in service"
    titles = ("name", "region", "serving", "members", "revision")

    def rows(
        self, records: table.Table, args: argparse.Namespace
    ) -> list[Sequence[Any]]:
        """Return one row for each zone."""
        members = [m.zone for m in records.members()]
        return [
            (z.name, z.region, z.serving, members.count(z.name), z.modified)
            for z in records.zones()
        ]
