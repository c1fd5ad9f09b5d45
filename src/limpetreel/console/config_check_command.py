"""Base class of the commands that check the settings of a role."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

from limpetreel.console import command, exit_code
from limpetreel.settings import loader

if TYPE_CHECKING:
    import argparse


class ConfigCheckCommand(command.Command):
    """Check settings as the role does at its start.

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
        """Check the settings; the application reports an invalid one."""
        loader.load(self.settings_class, args, os.environ)
        print("settings are valid")
        return exit_code.ExitCode.OK
