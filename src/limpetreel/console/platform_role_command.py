"""Base class of the commands that run a role on the users' platform."""

from __future__ import annotations

import abc
import asyncio
import sys
from typing import TYPE_CHECKING, Any

from limpetreel import exceptions, platform_factory
from limpetreel.console import command, exit_code
from limpetreel.runtime import process

if TYPE_CHECKING:
    import argparse
    import pathlib


class PlatformRoleCommand(command.Command):
    """A command that reads the platform's settings file and serves until SIGTERM."""

    def run(self, args: argparse.Namespace) -> int:
        """Check the settings and serve until SIGTERM."""
        try:
            asyncio.run(self._serve(platform_factory.settings_path()))
        except (OSError, exceptions.StorageError) as exc:
            print(f"limpetreel: {self.name} has stopped: {exc}", file=sys.stderr)
            return exit_code.ExitCode.FAILED
        return exit_code.ExitCode.OK

    async def _serve(self, path: pathlib.Path) -> None:
        await process.run_until_signal(self.build(path).serve)

    @abc.abstractmethod
    def build(self, path: pathlib.Path) -> Any:
        """Return the shell of the role.

        Parameters
        ----------
        path : pathlib.Path
            The settings file.
        """
