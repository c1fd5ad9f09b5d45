"""Command ``agent``."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING

from limpetreel import factory
from limpetreel.console import command, exit_code
from limpetreel.runtime import process
from limpetreel.settings import agent_settings, loader

if TYPE_CHECKING:
    import argparse


class AgentCommand(command.Command):
    """Run an agent."""

    name = "agent"
    help = "run an agent until SIGTERM"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add a flag for each setting."""
        loader.add_arguments(parser, agent_settings.AgentSettings)

    def run(self, args: argparse.Namespace) -> int:
        """Serve until SIGTERM."""
        cfg = loader.load(agent_settings.AgentSettings, args, os.environ)
        asyncio.run(process.run_until_signal(factory.build_agent(cfg).serve))
        return exit_code.ExitCode.OK
