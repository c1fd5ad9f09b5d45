"""Command ``class show``."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import msgspec

from limpetreel.console import exit_code, operator_command, table_reader
from limpetreel.core import failure

if TYPE_CHECKING:
    import argparse


class ClassShowCommand(operator_command.OperatorCommand):
    """Show one class."""

    name = "class show"
    help = "show the targets, the port and the agents of a class"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the name of the class."""
        super().add_arguments(parser)
        parser.add_argument("class_name", metavar="NAME")

    def run(self, args: argparse.Namespace) -> int:
        """Fetch the table and print the class."""
        answer = self.call(args, {"type": "table"})
        if isinstance(answer, failure.Failure):
            return operator_command.report_unreachable(answer)
        records = table_reader.read(answer)
        if isinstance(records, failure.Failure):
            return operator_command.report_unreachable(records)
        record = records.class_by_name(args.class_name)
        if record is None:
            print(f"limpetreel: no class {args.class_name}", file=sys.stderr)
            return exit_code.ExitCode.FAILED
        agents = [f"{a.name} ({a.state})" for a in records.agents_of(record.name)]
        shown = {**msgspec.structs.asdict(record), "agents": agents}
        if args.json:
            print(msgspec.json.encode(shown).decode())
            return exit_code.ExitCode.OK
        for field, value in shown.items():
            text = ", ".join(value) if isinstance(value, list | tuple) else value
            print(f"{field:10} {text}")
        return exit_code.ExitCode.OK
