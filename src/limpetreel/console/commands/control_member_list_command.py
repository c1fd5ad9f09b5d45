"""Command ``control-member list``."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limpetreel.console import exit_code, operator_command
from limpetreel.core import failure

if TYPE_CHECKING:
    import argparse


class ControlMemberListCommand(operator_command.OperatorCommand):
    """Show the control instances and which of them leads."""

    name = "control-member list"
    help = "show the control instances"

    def run(self, args: argparse.Namespace) -> int:
        """Fetch and print the members."""
        answer = self.call(args, {"type": "table"})
        if isinstance(answer, failure.Failure):
            return operator_command.report_unreachable(answer)
        if args.json:
            shown = {k: answer[k] for k in ("current", "leader", "term", "control")}
            print(msgspec.json.encode(shown).decode())
            return exit_code.ExitCode.OK
        state = "current" if answer["current"] else "stale"
        print(f"{state}, term {answer['term']}")
        for member in answer["control"]:
            identity = f"{member['name']}#{member['incarnation']}"
            part = "leader" if identity == answer["leader"] else "member"
            part = part if member["voting"] else "catching up"
            columns = (
                member["name"],
                str(member["incarnation"]),
                member["address"],
                part,
            )
            print(" ".join(columns))
        return exit_code.ExitCode.OK
