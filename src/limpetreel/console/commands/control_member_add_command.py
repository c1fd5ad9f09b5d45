"""Command ``control-member add``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.console import operator_command
from limpetreel.settings import parsers

if TYPE_CHECKING:
    import argparse


class ControlMemberAddCommand(operator_command.OperatorCommand):
    """Add a control instance that was initialised with ``init --join``."""

    name = "control-member add"
    help = "add a control instance; it votes once it has caught up"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the identity and address of the member."""
        super().add_arguments(parser)
        parser.add_argument("member", metavar="NAME", type=parsers.name)
        parser.add_argument(
            "--incarnation",
            type=int,
            required=True,
            help="incarnation that 'limpetreel init --join' printed",
        )
        parser.add_argument(
            "--address",
            metavar="IP:PORT",
            type=parsers.address,
            required=True,
            help="address for other control instances",
        )

    def run(self, args: argparse.Namespace) -> int:
        """Send the request."""
        host, port = args.address
        member = {
            "name": args.member,
            "incarnation": args.incarnation,
            "address": f"{host}:{port}",
        }
        return self.change_members(args, {"type": "control_add", "member": member})
