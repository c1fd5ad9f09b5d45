"""Command ``status``."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limpetreel.console import exit_code, operator_command
from limpetreel.core import failure

if TYPE_CHECKING:
    import argparse


class StatusCommand(operator_command.OperatorCommand):
    """Show the table of a control instance."""

    name = "status"
    help = "show classes, zones and members"

    def run(self, args: argparse.Namespace) -> int:
        """Fetch and print the table."""
        answer = self.call(args, {"type": "table"})
        if isinstance(answer, failure.Failure):
            return operator_command.report_unreachable(answer)
        if args.json:
            print(msgspec.json.encode(answer).decode())
            return exit_code.ExitCode.OK
        print(f"revision {answer['revision']}")
        for record in answer["records"]:
            fields = " ".join(f"{k}={v}" for k, v in record.items() if k != "type")
            print(f"{record['type']:7} {fields}")
        return exit_code.ExitCode.OK
