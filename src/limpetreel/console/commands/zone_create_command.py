"""Command ``zone create``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.console import operator_command

if TYPE_CHECKING:
    import argparse


class ZoneCreateCommand(operator_command.OperatorCommand):
    """Create a zone, which is in service from the start."""

    name = "zone create"
    help = "create a zone"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add name and region."""
        super().add_arguments(parser)
        operator_command.add_change_arguments(parser)
        parser.add_argument("zone", metavar="ZONE")
        parser.add_argument("--in-region", default="local", help="region of the zone")

    def run(self, args: argparse.Namespace) -> int:
        """Send the command."""
        body = {
            "type": "zone_create",
            "name": args.zone,
            "expected": args.expected or 0,
            "region": args.in_region,
        }
        return self.change(args, body)
