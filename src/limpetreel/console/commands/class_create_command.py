"""Command ``class create``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.console import operator_command

if TYPE_CHECKING:
    import argparse


class ClassCreateCommand(operator_command.OperatorCommand):
    """Create a class of work with its targets."""

    name = "class create"
    help = "create a class of work"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the flags of the targets."""
        super().add_arguments(parser)
        operator_command.add_change_arguments(parser)
        parser.add_argument("class_name", metavar="NAME")
        parser.add_argument(
            "--capacity",
            type=int,
            required=True,
            help="maximum number of open requests",
        )
        parser.add_argument(
            "--answer-ms",
            type=int,
            required=True,
            help="target answer time in ms",
        )
        parser.add_argument(
            "--zones",
            default="",
            help="comma-separated zones in which it may run; default: all",
        )

    def run(self, args: argparse.Namespace) -> int:
        """Send the command."""
        body = {
            "type": "class_create",
            "name": args.class_name,
            "expected": args.expected or 0,
            "capacity": args.capacity,
            "answer_ms": args.answer_ms,
            "zones": [z for z in args.zones.split(",") if z],
        }
        return self.change(args, body)
