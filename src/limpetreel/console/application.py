"""The command-line application."""

from __future__ import annotations

import argparse
import importlib
import sys
from typing import TYPE_CHECKING

from limpetreel import exceptions
from limpetreel.console import exit_code

if TYPE_CHECKING:
    from collections.abc import Sequence

    from limpetreel.console import command

_COMMANDS = {
    "entry": "entry_command.EntryCommand",
    "agent": "agent_command.AgentCommand",
    "control": "control_command.ControlCommand",
    "init": "init_command.InitCommand",
    "class create": "class_create_command.ClassCreateCommand",
    "zone create": "zone_create_command.ZoneCreateCommand",
    "zone out": "zone_out_command.ZoneOutCommand",
    "zone in": "zone_in_command.ZoneInCommand",
    "control-member add": "control_member_add_command.ControlMemberAddCommand",
    "control-member remove": (
        "control_member_remove_command.ControlMemberRemoveCommand"
    ),
    "control-member list": "control_member_list_command.ControlMemberListCommand",
    "status": "status_command.StatusCommand",
    "demo": "demo_command.DemoCommand",
    "stand-in upstream": "stand_in_upstream_command.StandInUpstreamCommand",
    "stand-in fabric": "stand_in_fabric_command.StandInFabricCommand",
}
"""Words of each command and where its class is, relative to `console.commands`."""


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program.

    Parameters
    ----------
    argv : sequence of str or None
        Arguments without the program's name; None takes those of the process.

    Returns
    -------
    int
        Exit code, see `console.exit_code.ExitCode`.
    """
    words = list(sys.argv[1:] if argv is None else argv)
    parser = _build_parser(words)
    args = parser.parse_args(words)
    if args.command is None:
        parser.print_help()
        return exit_code.ExitCode.USAGE
    try:
        return args.command.run(args)
    except exceptions.SettingError as exc:
        print(f"limpetreel: {exc.detail}", file=sys.stderr)
        return exit_code.ExitCode.USAGE


def _build_parser(words: Sequence[str]) -> argparse.ArgumentParser:
    """Return the parser of all commands.

    Only the classes of commands that the words can select are imported, because
    each role may spend memory on its own libraries only.
    """
    parser = argparse.ArgumentParser(
        prog="limpetreel", description="Layer-4 load balancer that can be replayed."
    )
    parser.set_defaults(command=None)
    groups = {"": parser.add_subparsers(metavar="COMMAND")}
    for name, location in _COMMANDS.items():
        group, _, leaf = name.rpartition(" ")
        if group not in groups:
            sub = groups[""].add_parser(group, help=f"commands for {group}")
            groups[group] = sub.add_subparsers(metavar="COMMAND", required=True)
        _add_command(groups[group], leaf, name, location, words)
    return parser


def _add_command(
    group: argparse._SubParsersAction[argparse.ArgumentParser],
    leaf: str,
    name: str,
    location: str,
    words: Sequence[str],
) -> None:
    if words and words[0] != name.split()[0]:
        group.add_parser(leaf)
        return
    found = _load(location)
    sub = group.add_parser(leaf, help=found.help, description=found.help)
    found.add_arguments(sub)
    sub.set_defaults(command=found)


def _load(location: str) -> command.Command:
    module_name, _, class_name = location.partition(".")
    module = importlib.import_module(f"limpetreel.console.commands.{module_name}")
    return getattr(module, class_name)()


if __name__ == "__main__":
    sys.exit(main())
