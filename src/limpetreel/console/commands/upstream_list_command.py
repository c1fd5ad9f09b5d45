"""Command ``upstream list``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from limpetreel.catalog import role
from limpetreel.console import table_command

if TYPE_CHECKING:
    import argparse
    from collections.abc import Sequence

    from limpetreel.catalog import table


class UpstreamListCommand(table_command.TableCommand):
    """List upstreams by their agents."""

    name = "upstream list"
    help = "list upstreams by their agents, with state and share"
    titles = ("agent", "class", "zone", "region", "state", "share", "address")

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the filter."""
        super().add_arguments(parser)
        parser.add_argument(
            "--in-class", default="", help="show only upstreams of this class"
        )

    def rows(
        self, records: table.Table, args: argparse.Namespace
    ) -> list[Sequence[Any]]:
        """Return one row for each agent."""
        return [
            (
                m.name,
                m.class_name,
                m.zone,
                m.region,
                m.state,
                m.share,
                f"{m.host}:{m.port}",
            )
            for m in records.members()
            if m.role is role.Role.AGENT and args.in_class in ("", m.class_name)
        ]
