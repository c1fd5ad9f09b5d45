"""Command ``explain``."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import msgspec

from limpetreel.console import (
    exit_code,
    explanation,
    operator_command,
    table_reader,
    text_table,
)
from limpetreel.core import failure
from limpetreel.settings import parsers

if TYPE_CHECKING:
    import argparse


class ExplainCommand(operator_command.OperatorCommand):
    """Explain where the packets of a flow go."""

    name = "explain"
    help = "explain which agents a flow goes to, with costs and shares"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the flow."""
        super().add_arguments(parser)
        parser.add_argument("class_name", metavar="CLASS")
        parser.add_argument("caller", metavar="IP:PORT", type=parsers.address)

    def run(self, args: argparse.Namespace) -> int:
        """Recompute the assignment from the current table."""
        answer = self.call(args, {"type": "table"})
        if isinstance(answer, failure.Failure):
            return operator_command.report_unreachable(answer)
        records = table_reader.read(answer)
        if isinstance(records, failure.Failure):
            return operator_command.report_unreachable(records)
        result = explanation.explain(records, args.class_name, args.caller)
        if isinstance(result, failure.Failure):
            print(f"limpetreel: no class {args.class_name}", file=sys.stderr)
            return exit_code.ExitCode.FAILED
        if args.json:
            print(msgspec.json.encode(result).decode())
        else:
            _print(result)
        return exit_code.ExitCode.OK


def _print(result: explanation.Explanation) -> None:
    print(f"class     {result.class_name} (number {result.class_id})")
    print(f"caller    {result.caller}")
    print(f"bucket    {result.bucket} = flow hash mod 1024")
    print(f"revision  {result.revision}")
    print(f"primary   {result.primary or 'none: no agent may serve'}")
    print(f"deputy    {result.backup or 'none'}")
    if result.members:
        titles = ("agent", "zone", "state", "share", "cost", "part")
        rows = [msgspec.structs.astuple(m) for m in result.members]
        print(text_table.render(titles, rows))
    print("The lowest cost wins; the deputy is the next one in another zone.")
    print("An established flow stays with the owner that its primary recorded.")
