"""Command ``class set``."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from limpetreel.console import exit_code, operator_command, record_finder
from limpetreel.core import failure

if TYPE_CHECKING:
    import argparse


class ClassSetCommand(operator_command.OperatorCommand):
    """Set targets of a class."""

    name = "class set"
    help = "set targets of a class; targets that are not given stay as they are"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the flags of the targets."""
        super().add_arguments(parser)
        operator_command.add_change_arguments(parser)
        parser.add_argument("class_name", metavar="NAME")
        parser.add_argument(
            "--capacity", type=int, help="maximum number of open requests"
        )
        parser.add_argument("--answer-ms", type=int, help="target answer time in ms")
        parser.add_argument(
            "--zones", help="comma-separated zones in which it may run; empty for all"
        )

    def run(self, args: argparse.Namespace) -> int:
        """Send the command."""
        wanted: dict[str, Any] = {
            "capacity": args.capacity,
            "answer_ms": args.answer_ms,
        }
        if args.zones is not None:
            wanted["zones"] = [z for z in args.zones.split(",") if z]
        wanted = {name: value for name, value in wanted.items() if value is not None}
        if not wanted:
            text = "class set needs --capacity, --answer-ms or --zones"
            print(f"limpetreel: {text}", file=sys.stderr)
            return exit_code.ExitCode.USAGE
        expected = record_finder.expected_revision(self, args, "class", args.class_name)
        if isinstance(expected, failure.Failure):
            return operator_command.report_unreachable(expected)
        body = {"type": "class_set", "name": args.class_name, "expected": expected}
        return self.change(args, {**body, **wanted})
