"""Command ``zone out``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.console import operator_command, record_finder
from limpetreel.core import failure

if TYPE_CHECKING:
    import argparse


class ZoneOutCommand(operator_command.OperatorCommand):
    """Put a zone out of service."""

    name = "zone out"
    help = "take a zone out of service"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the zone."""
        super().add_arguments(parser)
        operator_command.add_change_arguments(parser)
        parser.add_argument("zone", metavar="ZONE")
        parser.add_argument(
            "--force",
            action="store_true",
            help="take the zone out even if classes are left without a zone",
        )

    def run(self, args: argparse.Namespace) -> int:
        """Send the command."""
        expected = record_finder.expected_revision(self, args, "zone", args.zone)
        if isinstance(expected, failure.Failure):
            return operator_command.report_unreachable(expected)
        body = {"type": "zone_out", "name": args.zone, "expected": expected}
        if args.force:
            body["force"] = True
        return self.change(args, body)
