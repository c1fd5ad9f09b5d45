"""Reading and rendering of trace files."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limpetreel.telemetry import span_line

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterable

_DECODER = msgspec.json.Decoder(span_line.SpanLine)


def read(paths: Iterable[pathlib.Path], trace_id: str) -> list[span_line.SpanLine]:
    """Return the spans of one trace in order of their start.

    Lines that cannot be decoded, such as a partially written one, are skipped.

    Parameters
    ----------
    paths : iterable of pathlib.Path
        Trace files of the nodes.
    trace_id : str
        Id of the trace; empty for all traces.
    """
    spans = []
    for path in paths:
        for line in path.read_bytes().splitlines():
            try:
                span = _DECODER.decode(line)
            except (msgspec.DecodeError, RecursionError):
                continue
            if trace_id in ("", span.trace_id):
                spans.append(span)
    return sorted(spans, key=lambda s: (s.start_ns, s.end_ns, s.span_id))


def render(spans: list[span_line.SpanLine]) -> str:
    """Return the spans of one trace as a tree.

    A span whose parent is missing, for example because the file of its node was not
    given, is shown as a root.

    Parameters
    ----------
    spans : list of SpanLine
        Spans of one trace in order of their start.
    """
    known_ids = {s.span_id for s in spans}
    children: dict[str, list[span_line.SpanLine]] = {}
    for span in spans:
        is_root = span.parent_id not in known_ids or span.parent_id == span.span_id
        children.setdefault("" if is_root else span.parent_id, []).append(span)
    lines: list[str] = []
    stack = [(span, 0) for span in reversed(children.get("", []))]
    while stack:
        span, depth = stack.pop()
        lines.append("  " * depth + _format_span(span, spans[0].start_ns))
        nested = children.pop(span.span_id, [])
        stack += [(child, depth + 1) for child in reversed(nested)]
    return "\n".join(lines)


def _format_span(span: span_line.SpanLine, first_ns: int) -> str:
    offset_ms = (span.start_ns - first_ns) / 1_000_000
    duration_ms = (span.end_ns - span.start_ns) / 1_000_000
    attributes = "".join(f" {k}={v}" for k, v in sorted(span.attributes.items()))
    times = f"+{offset_ms:.3f} ms, {duration_ms:.3f} ms"
    return f"{span.name} at {span.node}: {times}{attributes}"
