"""Base class of the commands that show the table."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, Any

import msgspec

from limpetreel.console import exit_code, operator_command, table_reader, text_table
from limpetreel.core import failure

if TYPE_CHECKING:
    import argparse
    from collections.abc import Sequence

    from limpetreel.catalog import table


class TableCommand(operator_command.OperatorCommand):
    """A command that prints records of the table.

    Attributes
    ----------
    titles : sequence of str
        Titles of the columns, which are the names of the fields in JSON.
    """

    titles: Sequence[str]

    def run(self, args: argparse.Namespace) -> int:
        """Fetch the table and print the selected records."""
        answer = self.call(args, {"type": "table"})
        if isinstance(answer, failure.Failure):
            return operator_command.report_unreachable(answer)
        records = table_reader.read(answer)
        if isinstance(records, failure.Failure):
            return operator_command.report_unreachable(records)
        rows = self.rows(records, args)
        if args.json:
            objects = [dict(zip(self.titles, row, strict=True)) for row in rows]
            print(msgspec.json.encode(objects).decode())
        else:
            print(text_table.render(self.titles, rows))
        return exit_code.ExitCode.OK

    @abc.abstractmethod
    def rows(
        self, records: table.Table, args: argparse.Namespace
    ) -> list[Sequence[Any]]:
        """Return the cells of each row.

        Parameters
        ----------
        records : Table
            The table.
        args : argparse.Namespace
            Parsed flags.
        """
