"""Command ``class delete``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.console import operator_command, record_finder
from limpetreel.core import failure

if TYPE_CHECKING:
    import argparse


class ClassDeleteCommand(operator_command.OperatorCommand):
    """Delete a class."""

    name = "class delete"
    help = "delete a class that has no agents left"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the name of the class."""
        super().add_arguments(parser)
        operator_command.add_change_arguments(parser)
        parser.add_argument("class_name", metavar="NAME")

    def run(self, args: argparse.Namespace) -> int:
        """Send the command."""
        expected = record_finder.expected_revision(self, args, "class", args.class_name)
        if isinstance(expected, failure.Failure):
            return operator_command.report_unreachable(expected)
        body = {"type": "class_delete", "name": args.class_name, "expected": expected}
        return self.change(args, body)
