"""Command ``entry``."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING

from limpetreel import factory
from limpetreel.console import command, exit_code
from limpetreel.runtime import process
from limpetreel.settings import entry_settings, loader

if TYPE_CHECKING:
    import argparse


class EntryCommand(command.Command):
    """Run an entry."""

    name = "entry"
    help = "run an entry until SIGTERM"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add a flag for each setting."""
        loader.add_arguments(parser, entry_settings.EntrySettings)

    def run(self, args: argparse.Namespace) -> int:
        """Serve until SIGTERM."""
        cfg = loader.load(entry_settings.EntrySettings, args, os.environ)
        asyncio.run(process.run_until_signal(factory.build_entry(cfg).serve))
        return exit_code.ExitCode.OK
