"""Base class of the commands that run a role."""

from __future__ import annotations

import abc
import asyncio
import os
import sys
from typing import TYPE_CHECKING, Any

from limpetreel import exceptions
from limpetreel.console import command, exit_code
from limpetreel.runtime import process
from limpetreel.settings import loader

if TYPE_CHECKING:
    import argparse


class RoleCommand(command.Command):
    """A command that serves until SIGTERM.

    Attributes
    ----------
    settings_class : type
        Data class of the role's settings.
    """

    settings_class: type[Any]

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add a flag for each setting."""
        loader.add_arguments(parser, self.settings_class)

    def run(self, args: argparse.Namespace) -> int:
        """Check the settings and serve until SIGTERM."""
        cfg = loader.load(self.settings_class, args, os.environ)
        try:
            asyncio.run(process.run_until_signal(self.build(cfg).serve))
        except (OSError, exceptions.StorageError) as exc:
            # For example an address in use, or an uninitialised data folder.
            print(f"limpetreel: {self.name} has stopped: {exc}", file=sys.stderr)
            return exit_code.ExitCode.FAILED
        return exit_code.ExitCode.OK

    @abc.abstractmethod
    def build(self, cfg: Any) -> Any:
        """Return the shell of the role.

        Parameters
        ----------
        cfg : BaseSettings
            Checked settings, an instance of `settings_class`.
        """
