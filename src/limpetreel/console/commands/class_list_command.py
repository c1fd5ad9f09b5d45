"""Command ``class list``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from limpetreel.catalog import member_state
from limpetreel.console import table_command

if TYPE_CHECKING:
    import argparse
    from collections.abc import Sequence

    from limpetreel.catalog import table


class ClassListCommand(table_command.TableCommand):
    """List classes with their targets."""

    name = "class list"
    help = "list classes with their targets"
    titles = (
        "name",
        "class_id",
        "port",
        "capacity",
        "answer_ms",
        "zones",
        "agents",
        "active",
        "revision",
    )

    def rows(
        self, records: table.Table, args: argparse.Namespace
    ) -> list[Sequence[Any]]:
        """Return one row for each class."""
        rows: list[Sequence[Any]] = []
        for record in records.classes():
            agents = records.agents_of(record.name)
            active = [a for a in agents if a.state is member_state.MemberState.ACTIVE]
            rows.append(
                (
                    record.name,
                    record.class_id,
                    record.port,
                    record.capacity,
                    record.answer_ms,
                    record.zones,
                    len(agents),
                    len(active),
                    record.modified,
                )
            )
        return rows
