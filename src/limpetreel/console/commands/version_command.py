"""Command ``version``."""

from __future__ import annotations

import platform
from importlib import metadata
from typing import TYPE_CHECKING

from limpetreel.console import command, exit_code
from limpetreel.wire import frame

if TYPE_CHECKING:
    import argparse


class VersionCommand(command.Command):
    """Print the version."""

    name = "version"
    help = "print the versions of the program, the frames and Python"

    def run(self, args: argparse.Namespace) -> int:
        """Print one line."""
        version = metadata.version("limpetreel")
        python = platform.python_version()
        print(f"limpetreel {version}, frame version {frame.VERSION}, Python {python}")
        return exit_code.ExitCode.OK
