"""Command ``demo``."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

from limpetreel.console import command
from limpetreel.workload import demo

if TYPE_CHECKING:
    import argparse


class DemoCommand(command.Command):
    """Start a small site on loopback, put it under load and check the outcome."""

    name = "demo"
    help = "run the whole system with stand-ins on loopback for some seconds"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the flags."""
        parser.add_argument("--seed", type=int, default=1, help="seed of the load")
        parser.add_argument(
            "--program",
            default="",
            help="file of the program to run; default: this installation",
        )

    def run(self, args: argparse.Namespace) -> int:
        """Run the demonstration."""
        program = [sys.executable, "-m", "limpetreel"]
        if args.program:
            program = [sys.executable, args.program]
        return asyncio.run(demo.Demo(program, args.seed).run())
