"""Command ``stand-in upstream``."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from limpetreel.console import command, exit_code
from limpetreel.runtime import process
from limpetreel.settings import parsers
from limpetreel.workload import upstream, upstream_settings

if TYPE_CHECKING:
    import argparse


class StandInUpstreamCommand(command.Command):
    """Run a stand-in for a user's service."""

    name = "stand-in upstream"
    help = "run a stand-in for an upstream"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the flags."""
        parser.add_argument("--name", type=parsers.name, required=True)
        parser.add_argument("--class-name", type=parsers.name, required=True)
        parser.add_argument("--listen", type=parsers.address, required=True)
        parser.add_argument("--agent", type=parsers.address, required=True)
        parser.add_argument("--slots", type=int, default=4)
        parser.add_argument("--service-ms", type=float, default=10.0)
        parser.add_argument("--cold-seconds", type=float, default=1.0)

    def run(self, args: argparse.Namespace) -> int:
        """Serve until SIGTERM."""
        cfg = upstream_settings.UpstreamSettings(
            name=args.name,
            class_name=args.class_name,
            host=args.listen[0],
            port=args.listen[1],
            agent=args.agent,
            slots=args.slots,
            service_s=args.service_ms / 1000,
            cold_s=args.cold_seconds,
        )
        asyncio.run(process.run_until_signal(upstream.Upstream(cfg).serve))
        return exit_code.ExitCode.OK
