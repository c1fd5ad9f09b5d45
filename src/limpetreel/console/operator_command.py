"""Base class of the commands that send requests to control."""

from __future__ import annotations

import functools
import os
import sys
import uuid
from typing import TYPE_CHECKING, Any

import msgspec

from limpetreel.console import (
    command,
    confirmation_wait,
    confirmations,
    exit_code,
    operator_client,
    progress,
)
from limpetreel.core import failure
from limpetreel.settings import loader, operator_settings, parsers

if TYPE_CHECKING:
    import argparse

DEFAULT_WAIT_SECONDS = 13.0
"""Every accepted change must be in force on all members within 13 s."""


class OperatorCommand(command.Command):
    """A command that sends requests to control and prints the answer."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the flags that all operator commands share."""
        loader.add_arguments(parser, operator_settings.OperatorSettings)
        parser.add_argument("--json", action="store_true", help="print JSON")

    def call(
        self, args: argparse.Namespace, body: dict[str, Any]
    ) -> dict[str, Any] | failure.Failure:
        """Send one request.

        Parameters
        ----------
        args : argparse.Namespace
            Parsed flags.
        body : dict
            Request with its kind under ``type``.
        """
        cfg = loader.load(operator_settings.OperatorSettings, args, os.environ)
        client = operator_client.OperatorClient(cfg.operator, cfg.operator_key)
        return client.call(body)

    def change(self, args: argparse.Namespace, body: dict[str, Any]) -> int:
        """Send a command with its id, print the answer and return the exit code."""
        command_id = args.command_id or uuid.uuid4().hex
        answer = self.call(args, {**body, "command_id": command_id})
        if isinstance(answer, failure.Failure):
            return report_unreachable(answer, command_id)
        is_applied = answer.get("status") == "applied"
        wait_result = None
        if is_applied and args.wait:
            wait_result = self._wait(args, answer.get("revision", 0))
        if args.json:
            shown = (
                {}
                if wait_result is None
                else {"confirmed": _confirmation_fields(wait_result, answer)}
            )
            print(msgspec.json.encode({**answer, **shown}).decode())
        else:
            _print_answer(answer)
        if wait_result is not None:
            return _report_wait(wait_result, answer["revision"])
        return exit_code.ExitCode.OK if is_applied else exit_code.ExitCode.FAILED

    def _wait(
        self, args: argparse.Namespace, revision: int
    ) -> confirmations.Confirmations | failure.Failure:
        call = functools.partial(self.call, args)
        line = progress.Progress(sys.stderr)
        return confirmation_wait.ConfirmationWait(call, line).run(
            revision, args.wait_seconds
        )

    def change_members(self, args: argparse.Namespace, body: dict[str, Any]) -> int:
        """Send a change of the control instances and return the exit code.

        The request carries no command id, since resending it is harmless: an
        identity is added and removed at most once.
        """
        answer = self.call(args, body)
        if isinstance(answer, failure.Failure):
            return report_unreachable(answer)
        detail = f": {answer['detail']}" if answer.get("detail") else ""
        print(f"{answer['status']}{detail}")
        done = answer["status"] == "applied"
        return exit_code.ExitCode.OK if done else exit_code.ExitCode.FAILED


def add_change_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the flags of commands that change a record."""
    parser.add_argument(
        "--expected",
        type=parsers.number(0, 2**53),
        default=None,
        help="revision of the record to change; default: the current one",
    )
    parser.add_argument(
        "--command-id",
        default="",
        help="id of an earlier attempt that got no answer; default: a new id",
    )
    parser.add_argument(
        "--wait",
        action="store_true",
        help="wait until every member that renews has confirmed the change",
    )
    parser.add_argument(
        "--wait-seconds",
        type=parsers.seconds(0, 3600),
        default=DEFAULT_WAIT_SECONDS,
        help=f"time limit of --wait in seconds; default {DEFAULT_WAIT_SECONDS:g}",
    )


def report_unreachable(problem: failure.Failure, command_id: str = "") -> int:
    """Print that no control instance answered and return the exit code."""
    print(f"limpetreel: no answer from control: {problem}", file=sys.stderr)
    if command_id:
        hint = f"resend with --command-id {command_id}"
        print(f"limpetreel: the outcome is unknown; {hint}", file=sys.stderr)
    return exit_code.ExitCode.UNREACHABLE


def _print_answer(answer: dict[str, Any]) -> None:
    detail = f": {answer['detail']}" if answer.get("detail") else ""
    status = answer.get("status", "no status")
    print(f"{status} at revision {answer.get('revision', 0)}{detail}")
    for difference in answer.get("differences") or ():
        print("  " + " ".join(f"{k}={v}" for k, v in difference.items()))


def _confirmation_fields(
    wait_result: confirmations.Confirmations | failure.Failure, answer: dict[str, Any]
) -> dict[str, Any]:
    if isinstance(wait_result, failure.Failure):
        return {"problem": str(wait_result)}
    revision = answer["revision"]
    return {
        "missing": msgspec.to_builtins(wait_result.missing(revision)),
        "silent": msgspec.to_builtins(wait_result.not_renewing(revision)),
        "cut_off_regions": wait_result.cut_off_regions(revision),
    }


def _report_wait(
    wait_result: confirmations.Confirmations | failure.Failure, revision: int
) -> int:
    """Report missing members on standard error and return the exit code."""
    if isinstance(wait_result, failure.Failure):
        text = f"accepted, but control does not report confirmations: {wait_result}"
        print(f"limpetreel: {text}", file=sys.stderr)
        return exit_code.ExitCode.UNCONFIRMED
    not_renewing, missing = (
        wait_result.not_renewing(revision),
        wait_result.missing(revision),
    )
    if not_renewing:
        locations = confirmations.describe_locations(not_renewing)
        print(f"limpetreel: no contact with members in {locations}", file=sys.stderr)
    if missing or wait_result.revision < revision:
        locations = confirmations.describe_locations(missing) or "control"
        text = f"revision {revision} is not confirmed by {locations}"
        print(f"limpetreel: {text}", file=sys.stderr)
        return exit_code.ExitCode.UNCONFIRMED
    if wait_result.cut_off_regions(revision):
        return exit_code.ExitCode.UNCONFIRMED
    print(f"limpetreel: revision {revision} is confirmed", file=sys.stderr)
    return exit_code.ExitCode.OK
