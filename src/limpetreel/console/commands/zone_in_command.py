"""Command ``zone in``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.console import operator_command, record_finder
from limpetreel.core import failure

if TYPE_CHECKING:
    import argparse


class ZoneInCommand(operator_command.OperatorCommand):
    """Put a zone back into service."""

    name = "zone in"
    help = "bring a zone back into service"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the zone."""
        super().add_arguments(parser)
        operator_command.add_change_arguments(parser)
        parser.add_argument("zone", metavar="ZONE")

    def run(self, args: argparse.Namespace) -> int:
        """Send the command."""
        expected = record_finder.expected_revision(self, args, "zone", args.zone)
        if isinstance(expected, failure.Failure):
            return operator_command.report_unreachable(expected)
        body = {"type": "zone_in", "name": args.zone, "expected": expected}
        return self.change(args, body)
