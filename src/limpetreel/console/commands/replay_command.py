"""Command ``replay``."""

from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING

import msgspec

from limpetreel import factory
from limpetreel.console import command, exit_code
from limpetreel.replay import outcome, replayer

if TYPE_CHECKING:
    import argparse


class ReplayCommand(command.Command):
    """Replay a decision log on a new core."""

    name = "replay"
    help = "replay a decision log and report the first difference"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the path of the log."""
        parser.add_argument("file", metavar="FILE", type=pathlib.Path)
        parser.add_argument("--json", action="store_true", help="print JSON")

    def run(self, args: argparse.Namespace) -> int:
        """Replay the file; exit code 1 if it differs or cannot be read."""
        try:
            data = args.file.read_bytes()
        except OSError as exc:
            print(f"limpetreel: cannot read {args.file}: {exc}", file=sys.stderr)
            return exit_code.ExitCode.FAILED
        result = replayer.Replayer(factory.build_core).run(data)
        if args.json:
            print(msgspec.json.encode(result).decode())
        else:
            _print(result)
        is_ok = not result.difference and not result.problem
        return exit_code.ExitCode.OK if is_ok else exit_code.ExitCode.FAILED


def _print(result: outcome.Outcome) -> None:
    print(f"{result.agreed} events agree")
    if result.is_torn:
        print("the log ends in an incomplete record, which was ignored")
    if result.difference:
        print(f"first difference: {result.difference}")
    if result.problem:
        print(f"the log cannot be read further: {result.problem}")
