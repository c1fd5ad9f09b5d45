"""Command ``version``."""

from __future__ import annotations

import platform
import sys
from typing import TYPE_CHECKING

import limpetreel
from limpetreel.console import command, exit_code
from limpetreel.platform import installed_build
from limpetreel.telemetry import source_digest
from limpetreel.wire import frame

if TYPE_CHECKING:
    import argparse


class VersionCommand(command.Command):
    """Print the version, and whether the build is that of the sources."""

    name = "version"
    help = "print the versions of the program, its sources, the frames and Python"

    def run(self, args: argparse.Namespace) -> int:
        """Print one line; fail if the process runs another build than its tree's."""
        sources = source_digest.SourceDigest(installed_build.package_folder())
        print(
            f"limpetreel {limpetreel.__version__}, sources {sources}, "
            f"frame version {frame.VERSION}, Python {platform.python_version()}"
        )
        faults = installed_build.find_faults()
        for fault in faults:
            print(f"limpetreel: {fault}", file=sys.stderr)
        return exit_code.ExitCode.FAILED if faults else exit_code.ExitCode.OK
