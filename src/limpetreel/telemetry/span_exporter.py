"""Exporter of spans; imported only if a trace file is set."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from opentelemetry.sdk.trace import export

from limpetreel.telemetry import span_line

if TYPE_CHECKING:
    from collections.abc import Sequence

    from opentelemetry.sdk import trace

    from limpetreel.telemetry import rotating_file

_ENCODER = msgspec.json.Encoder()


class SpanExporter(export.SpanExporter):
    """Writes spans as JSON lines.

    Parameters
    ----------
    node : str
        Process that records the spans.
    file : RotatingFile
        The trace file.
    """

    def __init__(self, node: str, file: rotating_file.RotatingFile) -> None:
        self._node = node
        self._file = file

    def export(self, spans: Sequence[trace.ReadableSpan]) -> export.SpanExportResult:
        """Append spans to the file."""
        for span in spans:
            self._file.write(_ENCODER.encode(self._span_line(span)) + b"\n")
        return export.SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self._file.close()

    def force_flush(self, timeout_millis: int = 30000) -> bool:
        """Flush buffered spans to the operating system."""
        self._file.flush()
        return True

    def _span_line(self, span: trace.ReadableSpan) -> span_line.SpanLine:
        context = span.get_span_context()
        assert context is not None
        parent_id = f"{span.parent.span_id:016x}" if span.parent is not None else ""
        return span_line.SpanLine(
            trace_id=f"{context.trace_id:016x}",
            span_id=f"{context.span_id:016x}",
            parent_id=parent_id,
            name=span.name,
            node=self._node,
            start_ns=span.start_time or 0,
            end_ns=span.end_time or 0,
            attributes={k: str(v) for k, v in (span.attributes or {}).items()},
        )
