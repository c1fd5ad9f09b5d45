"""The command-line application."""

from __future__ import annotations

import gc
import importlib
import sys
from typing import TYPE_CHECKING, Any, cast

from limpetreel import exceptions
from limpetreel.console import exit_code

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable, Sequence

    from limpetreel.console import command, platform_role_command

_Groups = dict[str, "argparse._SubParsersAction[Any]"]

_COMMANDS = {
    "entry": "entry_command.EntryCommand",
    "agent": "agent_command.AgentCommand",
    "control": "control_command.ControlCommand",
    "standalone": "standalone_command.StandaloneCommand",
    "init": "init_command.InitCommand",
    "class create": "class_create_command.ClassCreateCommand",
    "class set": "class_set_command.ClassSetCommand",
    "class show": "class_show_command.ClassShowCommand",
    "class list": "class_list_command.ClassListCommand",
    "class delete": "class_delete_command.ClassDeleteCommand",
    "zone create": "zone_create_command.ZoneCreateCommand",
    "zone out": "zone_out_command.ZoneOutCommand",
    "zone in": "zone_in_command.ZoneInCommand",
    "zone list": "zone_list_command.ZoneListCommand",
    "upstream list": "upstream_list_command.UpstreamListCommand",
    "control-member add": "control_member_add_command.ControlMemberAddCommand",
    "control-member remove": (
        "control_member_remove_command.ControlMemberRemoveCommand"
    ),
    "control-member list": "control_member_list_command.ControlMemberListCommand",
    "status": "status_command.StatusCommand",
    "explain": "explain_command.ExplainCommand",
    "config check entry": "config_check_entry_command.ConfigCheckEntryCommand",
    "config check agent": "config_check_agent_command.ConfigCheckAgentCommand",
    "config check control": "config_check_control_command.ConfigCheckControlCommand",
    "trace": "trace_command.TraceCommand",
    "replay": "replay_command.ReplayCommand",
    "version": "version_command.VersionCommand",
    "platform entry": "platform_entry_command.PlatformEntryCommand",
    "platform agent": "platform_agent_command.PlatformAgentCommand",
    "platform control": "platform_control_command.PlatformControlCommand",
    "platform check": "platform_check_command.PlatformCheckCommand",
    "demo": "demo_command.DemoCommand",
    "stand-in upstream": "stand_in_upstream_command.StandInUpstreamCommand",
    "stand-in fabric": "stand_in_fabric_command.StandInFabricCommand",
}
"""Class of each command by command name, relative to `console.commands`."""

_PLATFORM_ROLES = frozenset(("platform entry", "platform agent", "platform control"))
"""Commands without arguments that start before the argument parser is imported: the
parser takes a tenth of the processor time of a start."""

_GROUPS = {
    "control-member": "manage the control instances of the cluster",
    "class": "create, change and show classes of work",
    "zone": "create zones and take them out of service or back in",
    "upstream": "show upstreams",
    "platform": "run a role on the users' platform",
    "config": "check settings",
    "config check": "check the settings of a role without starting it",
    "stand-in": "run stand-ins for external systems, for demonstrations",
}


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program.

    Parameters
    ----------
    argv : sequence of str or None
        Arguments without the program name; None for those of the process.

    Returns
    -------
    int
        Exit code, see `console.exit_code.ExitCode`.
    """
    words = list(sys.argv[1:] if argv is None else argv)
    try:
        return _run_words(["version"] if words == ["--version"] else words)
    except ImportError as exc:
        if (exc.name or "").partition(".")[0] == "limpetreel":
            raise
        from limpetreel.platform import installed_build

        print(f"limpetreel: {installed_build.explain_import(exc)}", file=sys.stderr)
        return exit_code.ExitCode.FAILED


def _run_words(words: list[str]) -> int:
    """Run the command that the arguments select and return its exit code."""
    if " ".join(words) in _PLATFORM_ROLES:
        return _run(_load_role(" ".join(words)).run_role)
    parser = _build_parser(words)
    args = parser.parse_args(words)
    if args.command is None:
        parser.print_help()
        return exit_code.ExitCode.USAGE
    return _run(lambda: args.command.run(args))


def _run(run_command: Callable[[], int]) -> int:
    """Run a command and return its exit code, also after an expected failure."""
    try:
        return run_command()
    except exceptions.SettingError as exc:
        print(f"limpetreel: {exc.detail}", file=sys.stderr)
        return exit_code.ExitCode.USAGE
    except BrokenPipeError:
        # The reader of standard output, such as head, has exited.
        sys.stderr.close()
        return exit_code.ExitCode.FAILED


def _build_parser(words: Sequence[str]) -> argparse.ArgumentParser:
    """Return the parser of all commands.

    Imports only the classes of commands that the words can select, so that the
    process of a role does not load the libraries of other roles into memory.
    """
    from limpetreel.console import argument_parser

    parser = argument_parser.ArgumentParser(
        prog="limpetreel",
        description="Layer-4 load balancer whose decisions can be replayed.",
        epilog=exit_code.HELP,
    )
    parser.set_defaults(command=None)
    parser.add_argument(
        "--version", action="store_true", help="the same as the command version"
    )
    groups: _Groups = {"": parser.add_subparsers(metavar="COMMAND")}
    first_words = {name.split()[0] for name in _COMMANDS}
    # Any other first word leads to the help or an error, which list all commands.
    selected = words[0] if words and words[0] in first_words else ""
    for name, location in _COMMANDS.items():
        if not selected or name.split()[0] == selected:
            _add_command(groups, name, location)
        elif name.split()[0] not in groups[""].choices:
            groups[""].add_parser(name.split()[0])
    return parser


def _add_command(
    groups: _Groups,
    name: str,
    location: str,
) -> None:
    parent, _, leaf = name.rpartition(" ")
    group = _add_group(groups, parent)
    cmd = _load_command(location)
    sub = group.add_parser(
        leaf, help=cmd.help, description=cmd.help, epilog=exit_code.HELP
    )
    cmd.add_arguments(sub)
    sub.set_defaults(command=cmd)


def _add_group(groups: _Groups, name: str) -> argparse._SubParsersAction[Any]:
    """Return the subparsers of a group; add it and its parents if needed."""
    if name not in groups:
        parent, _, leaf = name.rpartition(" ")
        text = _GROUPS[name]
        sub = _add_group(groups, parent).add_parser(leaf, help=text, description=text)
        groups[name] = sub.add_subparsers(metavar="COMMAND", required=True)
    return groups[name]


def _load_role(name: str) -> platform_role_command.PlatformRoleCommand:
    """Return the command of a role, with fewer parts of the standard library.

    The garbage collector is off until the role is built: imports create many objects
    and no garbage.
    """
    from limpetreel.runtime import lean_imports

    gc.disable()
    lean_imports.import_asyncio()
    return cast(
        "platform_role_command.PlatformRoleCommand", _load_command(_COMMANDS[name])
    )


def _load_command(location: str) -> command.Command:
    module_name, _, class_name = location.partition(".")
    module = importlib.import_module(f"limpetreel.console.commands.{module_name}")
    return getattr(module, class_name)()


if __name__ == "__main__":
    sys.exit(main())
