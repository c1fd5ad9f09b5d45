"""Command ``status``."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from limpetreel.catalog import member_state
from limpetreel.console import exit_code, operator_command, table_reader, text_table
from limpetreel.core import failure

if TYPE_CHECKING:
    import argparse

    from limpetreel.catalog import table


class StatusCommand(operator_command.OperatorCommand):
    """Show the state of the system as a control instance knows it."""

    name = "status"
    help = "show revision, zones, classes and states of members"

    def run(self, args: argparse.Namespace) -> int:
        """Fetch and print the table."""
        answer = self.call(args, {"type": "table"})
        if isinstance(answer, failure.Failure):
            return operator_command.report_unreachable(answer)
        if args.json:
            print(msgspec.json.encode(answer).decode())
            return exit_code.ExitCode.OK
        records = table_reader.read(answer)
        if isinstance(records, failure.Failure):
            return operator_command.report_unreachable(records)
        stale = "" if answer.get("current", True) else " (may be out of date)"
        leader = f", leader {answer['leader']}" if answer.get("leader") else ""
        print(f"revision {records.revision}{stale}{leader}")
        print(_zones(records))
        print(_classes(records))
        return exit_code.ExitCode.OK


def _zones(records: table.Table) -> str:
    states = collections.Counter((m.zone, m.state) for m in records.members())
    titles = ("zone", "region", "serving", *map(str, member_state.MemberState))
    rows = [
        (
            z.name,
            z.region,
            z.serving,
            *(states[z.name, state] for state in member_state.MemberState),
        )
        for z in records.zones()
    ]
    return text_table.render(titles, rows)


def _classes(records: table.Table) -> str:
    titles = ("class", "port", "agents", *map(str, member_state.MemberState))
    rows = []
    for record in records.classes():
        agents = records.agents_of(record.name)
        states = collections.Counter(a.state for a in agents)
        counts = (states[state] for state in member_state.MemberState)
        rows.append((record.name, record.port, len(agents), *counts))
    return text_table.render(titles, rows)
