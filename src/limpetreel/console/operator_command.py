"""Base class of the commands that talk to control."""

from __future__ import annotations

import os
import sys
import uuid
from typing import TYPE_CHECKING, Any

import msgspec

from limpetreel.console import command, exit_code, operator_client
from limpetreel.core import failure
from limpetreel.settings import loader, operator_settings

if TYPE_CHECKING:
    import argparse


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
        """Send a command with its id, print the answer, return the exit code."""
        command_id = args.command_id or uuid.uuid4().hex
        answer = self.call(args, {**body, "command_id": command_id})
        if isinstance(answer, failure.Failure):
            return report_unreachable(answer, command_id)
        if args.json:
            print(msgspec.json.encode(answer).decode())
        else:
            detail = f": {answer['detail']}" if answer.get("detail") else ""
            revision = answer.get("revision", 0)
            print(f"{answer['status']} at revision {revision}{detail}")
        done = answer["status"] == "applied"
        return exit_code.ExitCode.OK if done else exit_code.ExitCode.FAILED

    def change_members(self, args: argparse.Namespace, body: dict[str, Any]) -> int:
        """Send a change of the control instances and return the exit code.

        It has no command id: to resend it is harmless, since an identity is added
        and removed at most once.
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
        type=int,
        default=None,
        help="revision of the record that you saw; default: the current one",
    )
    parser.add_argument(
        "--command-id",
        default="",
        help="id of an earlier attempt whose answer was lost; default: a new id",
    )


def report_unreachable(problem: failure.Failure, command_id: str = "") -> int:
    """Print that no control instance answered and return the exit code."""
    print(f"limpetreel: no answer from control: {problem}", file=sys.stderr)
    if command_id:
        hint = f"resend with --command-id {command_id}"
        print(f"limpetreel: the outcome is unknown; {hint}", file=sys.stderr)
    return exit_code.ExitCode.UNREACHABLE
