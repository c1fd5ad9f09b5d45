"""Base class of the commands that run a role on the users' platform."""

from __future__ import annotations

import abc
import gc
import sys
from typing import TYPE_CHECKING, Any

from limpetreel import exceptions, platform_factory
from limpetreel.console import command, exit_code
from limpetreel.runtime import process

if TYPE_CHECKING:
    import argparse
    import asyncio

    from limpetreel.platform import process_settings


class PlatformRoleCommand(command.Command):
    """A command that reads the platform's settings file and serves until SIGTERM."""

    def run(self, args: argparse.Namespace) -> int:
        """Check the settings and serve until SIGTERM."""
        return self.run_role()

    def run_role(self) -> int:
        """Check the settings and serve until SIGTERM; the role has no arguments."""
        try:
            process.run(self._serve)
        except (OSError, exceptions.StorageError) as exc:
            print(f"limpetreel: {self.name} has stopped: {exc}", file=sys.stderr)
            return exit_code.ExitCode.FAILED
        return exit_code.ExitCode.OK

    async def _serve(self, stopped: asyncio.Event) -> None:
        shell = self.build(platform_factory.settings_path())
        # What is in memory now stays, so collections need not look at it again.
        gc.freeze()
        gc.enable()
        await shell.serve(stopped)

    @abc.abstractmethod
    def build(self, path: process_settings.Path) -> Any:
        """Return the shell of the role.

        Parameters
        ----------
        path : str or os.PathLike
            The settings file.
        """
