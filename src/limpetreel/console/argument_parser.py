"""Parser of the command line."""

from __future__ import annotations

import argparse
import sys
from typing import Any, NoReturn

from limpetreel.console import exit_code


class ArgumentParser(argparse.ArgumentParser):
    """Parser that reports an error in one line and accepts no abbreviated flags.

    Parameters
    ----------
    **options
        As for `argparse.ArgumentParser`.
    """

    def __init__(self, **options: Any) -> None:
        # An abbreviation could change its meaning when another flag is added.
        super().__init__(**{**options, "allow_abbrev": False})

    def error(self, message: str) -> NoReturn:
        """Print one line and exit with `exit_code.ExitCode.USAGE`."""
        text = " ".join(message.split())
        print(f"{self.prog}: {text}; see {self.prog} --help", file=sys.stderr)
        sys.exit(exit_code.ExitCode.USAGE)
