"""Exit codes of the program."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit codes, the same for all commands.

    OK: done. FAILED: the operation was refused or a check found a difference.
    USAGE: a flag, an argument or a setting is wrong. UNREACHABLE: no control
    instance answered; the outcome of a command is unknown and it may be resent
    with the same command id. UNCONFIRMED: a command was accepted, but not all
    members confirmed it within the time limit.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNCONFIRMED = 4


HELP = (
    "exit codes: 0 done; 1 refused, or a check found a difference; 2 wrong flag, "
    "argument or setting; 3 no control instance answered, the outcome is unknown; "
    "4 accepted, but not confirmed by all members in time"
)
"""Text for ``--help``."""
