"""Logs, metrics, traces and the decision log of one process."""

from __future__ import annotations

import asyncio
import contextlib
import time
import traceback
from typing import TYPE_CHECKING, Any

from limpetreel.telemetry import metrics, rate_limit

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    import msgspec

    from limpetreel.node import record_span
    from limpetreel.replay import recorder
    from limpetreel.telemetry import (
        log_writer,
        metrics_server,
        source_digest,
        span_recorder,
    )

FLUSH_SECONDS = 1.0
MAX_TRACE_CHARACTERS = 4000
"""Characters of a stack trace that are logged, from its end, where the error arose."""
DEFER_SECONDS = 2.0
"""Time after the start until a deferred log begins to load its library."""
OPEN_STEP_SECONDS = 0.1
"""Time between the parts of the library; the largest takes 0.1 s on 0.12 of a core."""


class Telemetry:
    """Log lines, counters, spans and the decision log of one process.

    Parameters
    ----------
    node, role : str
        Name and role of the process.
    log : LogWriter or None
        Writes log lines; None discards them.
    spans : SpanRecorder or None
        Exports spans; None discards them.
    decisions : Recorder or None
        Writes the decision log; None disables it.
    metrics_address : tuple of (str, int) or None
        Address that serves ``/metrics``; None for no server.
    package_folder : str or None
        Folder of the programs, whose digest is named in the first line and in a metric.
    find_faults : callable or None
        Returns in which ways the process does not run the build of its tree; each is
        logged once the log is open.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        node: str,
        role: str,
        log: log_writer.LogWriter | None = None,
        spans: span_recorder.SpanRecorder | None = None,
        decisions: recorder.Recorder | None = None,
        metrics_address: tuple[str, int] | None = None,
        package_folder: str | None = None,
        find_faults: Callable[[], list[str]] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._node = node
        self._role = role
        self._log = log
        self._spans = spans
        self._decisions = decisions
        self._metrics_address = metrics_address
        self._package_folder = package_folder
        self._sources: source_digest.SourceDigest | None = None
        self._find_faults = find_faults
        self._clock = clock
        self._refusal_limit = rate_limit.RateLimit()
        self._decision_limit = rate_limit.RateLimit(rate_limit.DECISIONS_PER_PERIOD)
        self._server: metrics_server.MetricsServer | None = None
        self._flush_task: asyncio.Task[None] | None = None
        self._open_task: asyncio.Task[None] | None = None
        self._drop_sources: dict[str, Callable[[], Mapping[Any, float]]] = {}
        self._reported_drops: dict[tuple[str, str], float] = {}
        self._reported_at = clock()
        self._is_problem_reported = False
        self._event_counts: dict[type, int] = {}
        self.metrics = metrics.Metrics()
        self.add_metric(
            "events_total", "events of the core", "event", self._read_event_counts
        )
        if package_folder is not None:
            self.add_metric(
                "build_info",
                "1, with the digest of the programs",
                "sources",
                lambda: {self._read_digest(): 1},
            )

    async def start(self) -> None:
        """Start the metrics server and the regular flush of files."""
        fields: dict[str, Any] = {}
        if self._package_folder is not None:
            fields["sources"] = self._read_digest
        self.log("info", "process.start", **fields)
        asyncio.get_running_loop().set_exception_handler(self._log_unhandled)
        if self._metrics_address is not None:
            # Imported here because the library takes memory that is not needed
            # without a metrics address.
            from limpetreel.telemetry import metrics_server

            self._server = metrics_server.MetricsServer(
                self.metrics, self._node, self._role, self.refuse
            )
            try:
                await self._server.start(*self._metrics_address)
            except OSError as exc:
                # Without its metrics, a role can still serve.
                self._server = None
                self.log("error", "metrics.listen", detail=str(exc))
        self._flush_task = asyncio.create_task(self._flush_regularly())
        if self._log is not None:
            self._open_task = asyncio.create_task(self._open_log(self._log))

    async def close(self) -> None:
        """Write outstanding log lines and close all outputs."""
        if self._open_task is not None:
            self._open_task.cancel()
        if self._flush_task is not None:
            self._flush_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._flush_task
        if self._server is not None:
            await self._server.stop()
        self.report(at_end=True)
        self.log("info", "process.stop")
        if self._decisions is not None:
            self._decisions.close()
        if self._spans is not None:
            self._spans.close()
        if self._log is not None:
            self._log.close()

    def log(self, level: str, step: str, peer: str = "", **fields: Any) -> None:
        """Write one log line.

        Parameters
        ----------
        level : str
            ``debug``, ``info``, ``warning`` or ``error``.
        step : str
            Operation in progress, such as ``frame.decode``.
        peer : str
            Address or name of the peer.
        **fields
            Additional fields of the line; a function is called when it is written.
        """
        if self._log is not None:
            self._log.log(level, step, peer, fields)

    def refuse(self, step: str, peer: object, reason: str) -> None:
        """Count rejected input and log it at a limited rate.

        Parameters
        ----------
        step : str
            Check that rejected the input, such as ``frame.decode``.
        peer : object
            Source of the input.
        reason : str
            Reason of the rejection, from a small set.
        """
        self.metrics.count("refused_total", 1, {"step": step, "reason": reason})
        if self._log is None:
            return
        suppressed = self._refusal_limit.admit(self._clock(), (step, reason))
        if suppressed is None:
            return
        extra_fields = {"left_out": suppressed} if suppressed else {}
        self._log.log(
            "warning", step, _format_peer(peer), {"reason": reason, **extra_fields}
        )

    def log_decision(self, level: str, step: str, fields: Mapping[str, Any]) -> None:
        """Log a decision of a core at a limited rate.

        Parameters
        ----------
        level, step : str
            As in `log`.
        fields : mapping
            Inputs of the decision and its outcome.
        """
        if self._log is None:
            return
        suppressed = self._decision_limit.admit(self._clock(), (step, level))
        if suppressed is None:
            return
        extra_fields = {"left_out": suppressed} if suppressed else {}
        self._log.log(level, step, "", {**fields, **extra_fields})

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter.

        Parameters
        ----------
        name, amount, labels
            As in `metrics.Metrics.count`.
        """
        self.metrics.count(name, amount, labels)

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram, if metrics are served.

        Parameters
        ----------
        name, seconds
            As in `metrics.Metrics.observe`.
        """
        if self._metrics_address is not None:
            self.metrics.observe(name, seconds)

    def add_metric(
        self,
        name: str,
        description: str,
        label: str,
        read: Callable[[], Mapping[Any, float]],
    ) -> None:
        """Add a metric whose values are stored in another object.

        Parameters
        ----------
        name, description, label, read
            As in `metric_source.MetricSource`.
        """
        self.metrics.add_source(name, description, label, read)

    def add_drop_counter(
        self, step: str, read: Callable[[], Mapping[Any, float]]
    ) -> None:
        """Add the counter of dropped input of a core and log its growth at intervals.

        Parameters
        ----------
        step : str
            Component that drops input, such as ``entry.core``.
        read : callable
            Returns the number of drops for each reason.
        """
        self._drop_sources[step] = read
        self.add_metric("dropped_total", "input that the core dropped", "reason", read)

    def export_span(self, action: record_span.RecordSpan) -> None:
        """Export a span."""
        if self._spans is not None:
            self._spans.record(action)

    def record_decision(
        self, now: float, event: msgspec.Struct, actions: list[msgspec.Struct]
    ) -> None:
        """Count an event and write the decision to the decision log.

        Parameters
        ----------
        now : float
            Time passed to the core.
        event : msgspec.Struct
            Event passed to the core.
        actions : list of msgspec.Struct
            Actions that the core returned.
        """
        event_type = type(event)
        self._event_counts[event_type] = self._event_counts.get(event_type, 0) + 1
        if self._decisions is not None:
            self._decisions.record(now, event, actions)

    def _read_event_counts(self) -> dict[str, float]:
        return {cls.__name__: count for cls, count in self._event_counts.items()}

    async def _open_log(self, log: log_writer.LogWriter) -> None:
        await asyncio.sleep(DEFER_SECONDS)
        for _ in self._compute_digest():
            await asyncio.sleep(OPEN_STEP_SECONDS)
        for _ in log.open_in_steps():
            await asyncio.sleep(OPEN_STEP_SECONDS)
        if self._find_faults is not None:
            for fault in self._find_faults():
                self.log("error", "build.outdated", detail=fault)

    def _compute_digest(self) -> Iterator[None]:
        if self._package_folder is None:
            return
        if self._sources is None:
            # Imported here because a start has to be fast.
            from limpetreel.telemetry import source_digest

            self._sources = source_digest.SourceDigest(self._package_folder)
        yield from self._sources.compute_in_steps()

    def _read_digest(self) -> str:
        for _ in self._compute_digest():
            pass
        return str(self._sources)

    async def _flush_regularly(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            outputs = (self._log, self._spans, self._decisions)
            for step in (self.report, *(o.flush for o in outputs if o is not None)):
                try:
                    step()
                except Exception as exc:  # later lines would never be written
                    self.refuse("telemetry.flush", "", type(exc).__name__)

    def _log_unhandled(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log an exception of a callback or task that nothing else has handled."""
        if self._log is None:
            loop.default_exception_handler(context)
            return
        exc = context.get("exception")
        trace = "".join(traceback.format_exception(exc)) if exc else ""
        fields = {
            "reason": context.get("message", ""),
            "detail": repr(exc),
            "trace": trace[-MAX_TRACE_CHARACTERS:],
        }
        self.log_decision("error", "process.unhandled_error", fields)

    def report(self, at_end: bool = False) -> None:
        """Log suppressed lines, dropped input and a failure of the decision log.

        Parameters
        ----------
        at_end : bool
            Whether the process is ending, so that every count has to be logged now.
        """
        now = self._clock()
        for (step, reason), count in self._refusal_limit.take_suppressed(
            now, at_end
        ).items():
            self.log("warning", step, reason=reason, left_out=count)
        suppressed = self._decision_limit.take_suppressed(now, at_end)
        for (step, level), count in suppressed.items():
            self.log(level, step, left_out=count)
        if at_end or now - self._reported_at >= rate_limit.PERIOD_SECONDS:
            self._reported_at = now
            self._report_drops()
        problem = self._decisions.problem if self._decisions is not None else None
        if problem is not None and not self._is_problem_reported:
            self._is_problem_reported = True
            self.log("error", problem.step, reason=problem.reason, detail=str(problem))

    def _report_drops(self) -> None:
        for step, read in self._drop_sources.items():
            for reason, total in read().items():
                reported = self._reported_drops.get((step, str(reason)), 0)
                if total > reported:
                    self._reported_drops[step, str(reason)] = total
                    self.log(
                        "warning", step, reason=str(reason), dropped=total - reported
                    )


def disabled() -> Telemetry:
    """Return a telemetry object without outputs."""
    return Telemetry("", "")


def _format_peer(peer: object) -> str:
    if isinstance(peer, tuple) and len(peer) == 2:
        return f"{peer[0]}:{peer[1]}"
    return str(peer)
