"""Command ``control-member remove``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.console import operator_command
from limpetreel.settings import parsers

if TYPE_CHECKING:
    import argparse


class ControlMemberRemoveCommand(operator_command.OperatorCommand):
    """Remove a control instance permanently."""

    name = "control-member remove"
    help = "remove a control instance"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the identity of the member."""
        super().add_arguments(parser)
        parser.add_argument("member", metavar="NAME", type=parsers.name)
        parser.add_argument(
            "--incarnation",
            type=int,
            required=True,
            help="incarnation that 'limpetreel control-member list' shows",
        )

    def run(self, args: argparse.Namespace) -> int:
        """Send the request."""
        member = {
            "name": args.member,
            "incarnation": args.incarnation,
            "address": "",
        }
        return self.change_members(args, {"type": "control_remove", "member": member})
