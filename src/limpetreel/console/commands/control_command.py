"""Command ``control``."""

from __future__ import annotations

import asyncio
import os
import sys
from typing import TYPE_CHECKING

from limpetreel import exceptions, factory
from limpetreel.console import command, exit_code
from limpetreel.runtime import process
from limpetreel.settings import control_settings, loader

if TYPE_CHECKING:
    import argparse


class ControlCommand(command.Command):
    """Run a control instance."""

    name = "control"
    help = "run a control instance until SIGTERM"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add a flag for each setting."""
        loader.add_arguments(parser, control_settings.ControlSettings)

    def run(self, args: argparse.Namespace) -> int:
        """Serve until SIGTERM."""
        cfg = loader.load(control_settings.ControlSettings, args, os.environ)
        try:
            asyncio.run(process.run_until_signal(factory.build_control(cfg).serve))
        except exceptions.StorageError as exc:
            print(f"limpetreel: {exc}", file=sys.stderr)
            return exit_code.ExitCode.FAILED
        return exit_code.ExitCode.OK
