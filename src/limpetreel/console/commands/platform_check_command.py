"""Command ``platform check``."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

from limpetreel.console import command, exit_code
from limpetreel.platform import process_settings

if TYPE_CHECKING:
    import argparse


class PlatformCheckCommand(command.Command):
    """Check a settings file of the users' platform."""

    name = "platform check"
    help = "check a settings file of the users' platform"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the path of the file."""
        parser.add_argument("path", type=pathlib.Path, help="settings file")

    def run(self, args: argparse.Namespace) -> int:
        """Check the file; the application reports an invalid value."""
        cfg = process_settings.read(args.path)
        print(f"{args.path}: node {cfg.node} in {cfg.data_centre}, no problem found")
        return exit_code.ExitCode.OK
