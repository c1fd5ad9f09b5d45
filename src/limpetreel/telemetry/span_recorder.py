"""Recorder of the spans of a core; imported only if a trace file is set."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from opentelemetry import trace
from opentelemetry.sdk import trace as sdk_trace

if TYPE_CHECKING:
    from limpetreel.node import record_span
    from limpetreel.telemetry import span_exporter

ROOT_NAME = "entry.forward"
_FLAGS = trace.TraceFlags(trace.TraceFlags.SAMPLED)


class SpanRecorder:
    """Exports `RecordSpan` actions as finished spans.

    Frames carry only the trace id. The root span of a trace therefore uses the trace
    id as its span id, so that every later hop knows its parent.

    Parameters
    ----------
    exporter : SpanExporter
        Receives the finished spans.
    seed : int
        Seed for generating span ids.
    """

    def __init__(self, exporter: span_exporter.SpanExporter, seed: int) -> None:
        self._exporter = exporter
        self._rng = random.Random(seed)
        # Cores use a monotonic clock; spans of several nodes need a common time base.
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def record(self, action: record_span.RecordSpan) -> None:
        """Export one span."""
        span_id = action.trace_id
        parent = None
        if action.name != ROOT_NAME:
            span_id = self._rng.getrandbits(64) | 1
            parent = self._context(action.trace_id, action.trace_id)
        span = sdk_trace.ReadableSpan(
            name=action.name,
            context=self._context(action.trace_id, span_id),
            parent=parent,
            attributes=action.attributes,
            start_time=self._wall_ns(action.started_at),
            end_time=self._wall_ns(action.ended_at),
        )
        self._exporter.export([span])

    def flush(self) -> None:
        """Flush buffered spans to the operating system."""
        self._exporter.force_flush()

    def close(self) -> None:
        """Close the trace file."""
        self._exporter.shutdown()

    def _context(self, trace_id: int, span_id: int) -> trace.SpanContext:
        return trace.SpanContext(trace_id, span_id, True, _FLAGS)

    def _wall_ns(self, seconds: float) -> int:
        return self._offset_ns + int(seconds * 1_000_000_000)
