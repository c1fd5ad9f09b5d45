"""Look-up of records for commands that change them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.core import failure

if TYPE_CHECKING:
    import argparse

    from limpetreel.console import operator_command


def expected_revision(
    command: operator_command.OperatorCommand,
    args: argparse.Namespace,
    kind: str,
    name: str,
) -> int | failure.Failure:
    """Return the revision that a change expects.

    Parameters
    ----------
    command : OperatorCommand
        Command that sends the request.
    args : argparse.Namespace
        Parsed flags; ``expected`` takes precedence over the current revision.
    kind : str
        ``class`` or ``zone``.
    name : str
        Name of the record.

    Returns
    -------
    int or Failure
        0 if there is no such record.
    """
    if args.expected is not None:
        return args.expected
    answer = command.call(args, {"type": "table"})
    if isinstance(answer, failure.Failure):
        return answer
    for record in answer["records"]:
        if record["type"] == kind and record["name"] == name:
            return record["modified"]
    return 0
