"""Base class of the commands."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse


class Command(abc.ABC):
    """One subcommand of the program.

    Attributes
    ----------
    name : str
        Words that select the command, such as ``"zone out"``.
    help : str
        One-line summary for the help text.
    """

    name: str
    help: str

    def add_arguments(  # noqa: B027 - not every command has arguments
        self, parser: argparse.ArgumentParser
    ) -> None:
        """Add the flags and arguments of the command.

        Parameters
        ----------
        parser : argparse.ArgumentParser
            Parser of the command.
        """

    @abc.abstractmethod
    def run(self, args: argparse.Namespace) -> int:
        """Run the command and return the exit code.

        Parameters
        ----------
        args : argparse.Namespace
            Parsed flags and arguments.
        """
