"""Command ``trace``."""

from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING

import msgspec

from limpetreel.console import command, exit_code, text_table
from limpetreel.telemetry import span_reader

if TYPE_CHECKING:
    import argparse

    from limpetreel.telemetry import span_line


class TraceCommand(command.Command):
    """Print the spans of traces from the files that the nodes wrote."""

    name = "trace"
    help = "print the spans of one packet as a tree, or list the traces of files"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the files and the trace id."""
        parser.add_argument("files", metavar="FILE", nargs="+", type=pathlib.Path)
        parser.add_argument("--id", default="", help="trace id; default: list all")
        parser.add_argument("--json", action="store_true", help="print JSON")

    def run(self, args: argparse.Namespace) -> int:
        """Read the files and print."""
        try:
            spans = span_reader.read(args.files, args.id)
        except OSError as exc:
            print(f"limpetreel: cannot read {exc.filename}: {exc}", file=sys.stderr)
            return exit_code.ExitCode.FAILED
        if not spans:
            print("limpetreel: no matching span in the files", file=sys.stderr)
            return exit_code.ExitCode.FAILED
        if args.json:
            print(msgspec.json.encode(spans).decode())
        elif args.id:
            print(span_reader.render(spans))
        else:
            print(_list(spans))
        return exit_code.ExitCode.OK


def _list(spans: list[span_line.SpanLine]) -> str:
    traces: dict[str, list[span_line.SpanLine]] = {}
    for span in spans:
        traces.setdefault(span.trace_id, []).append(span)
    rows = [
        (
            trace_id,
            len(trace_spans),
            (max(s.end_ns for s in trace_spans) - trace_spans[0].start_ns) / 1_000_000,
            sorted({s.node for s in trace_spans}),
        )
        for trace_id, trace_spans in traces.items()
    ]
    return text_table.render(("trace", "spans", "ms", "nodes"), rows)
