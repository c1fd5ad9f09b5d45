"""Command ``stand-in fabric``."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from limpetreel.console import command, exit_code
from limpetreel.runtime import process
from limpetreel.settings import parsers
from limpetreel.workload import fabric

if TYPE_CHECKING:
    import argparse


class StandInFabricCommand(command.Command):
    """Run a stand-in for the fabric."""

    name = "stand-in fabric"
    help = "run a stand-in for the fabric that sprays packets over the entries"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the flags."""
        parser.add_argument("--public-ip", type=parsers.ip_number, required=True)
        parser.add_argument("--port", type=int, action="append", required=True)
        parser.add_argument(
            "--entry-ip", type=parsers.ip_number, action="append", required=True
        )
        parser.add_argument("--seed", type=int, default=1)

    def run(self, args: argparse.Namespace) -> int:
        """Spray packets until SIGTERM."""

        async def serve(stopped: asyncio.Event) -> None:
            rng = random.Random(args.seed)
            running = fabric.Fabric(args.public_ip, args.port, args.entry_ip, rng)
            await stopped.wait()
            running.close()

        asyncio.run(process.run_until_signal(serve))
        return exit_code.ExitCode.OK
