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
    """Run a new core on a decision log."""

    name = "replay"
    help = "run the decisions of a log again and report the first difference"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the file."""
        parser.add_argument("file", metavar="FILE", type=pathlib.Path)
        parser.add_argument("--json", action="store_true", help="print JSON")

    def run(self, args: argparse.Namespace) -> int:
        """Replay the file; exit code 1 if it differs or cannot be read."""
        try:
            data = args.file.read_bytes()
        except OSError as exc:
            print(f"limpetreel: cannot read {args.file}: {exc}", file=sys.stderr)
            return exit_code.ExitCode.FAILED
        found = replayer.Replayer(factory.build_core).run(data)
        if args.json:
            print(msgspec.json.encode(found).decode())
        else:
            _print(found)
        is_good = not found.difference and not found.problem
        return exit_code.ExitCode.OK if is_good else exit_code.ExitCode.FAILED


def _print(found: outcome.Outcome) -> None:
    print(f"{found.agreed} events agree")
    if found.is_torn:
        print("the log ends within a record, which was left out")
    if found.difference:
        print(f"first difference: {found.difference}")
    if found.problem:
        print(f"the log cannot be read further: {found.problem}")
