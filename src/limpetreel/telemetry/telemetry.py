"""What a shell reports about its process."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING, Any

from limpetreel.telemetry import metrics, rate_limit

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    import msgspec

    from limpetreel.node import record_span
    from limpetreel.replay import recorder
    from limpetreel.telemetry import log_writer, metrics_server, span_recorder

FLUSH_SECONDS = 1.0
DEFER_SECONDS = 2.0
"""Time after the start in which lines of a deferred log wait."""


class Telemetry:
    """Log lines, counters, spans and the decision log of one process.

    Parameters
    ----------
    node, role : str
        Name and role of the process.
    log : LogWriter or None
        Takes log lines; None drops them.
    spans : SpanRecorder or None
        Takes spans; None drops them.
    decisions : Recorder or None
        Takes decisions; None drops them.
    metrics_address : tuple of (str, int) or None
        Address of ``/metrics``; None for no server.
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
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._node = node
        self._role = role
        self._log = log
        self._spans = spans
        self._decisions = decisions
        self._metrics_address = metrics_address
        self._clock = clock
        self._limit = rate_limit.RateLimit()
        self._decision_limit = rate_limit.RateLimit(rate_limit.DECISIONS_PER_PERIOD)
        self._server: metrics_server.MetricsServer | None = None
        self._flushing: asyncio.Task[None] | None = None
        self._opening: asyncio.TimerHandle | None = None
        self._drops: dict[str, Callable[[], Mapping[Any, float]]] = {}
        self._reported: dict[tuple[str, str], float] = {}
        self._reported_at = clock()
        self._is_problem_reported = False
        self._events: dict[type, int] = {}
        self.metrics = metrics.Metrics()
        self.add_metric(
            "events_total", "events of the core", "event", self._read_events
        )

    async def start(self) -> None:
        """Begin to serve metrics and to flush files."""
        self.log("info", "process.start")
        if self._metrics_address is not None:
            # Loaded here because the library takes memory that is not needed
            # without an address.
            from limpetreel.telemetry import metrics_server

            self._server = metrics_server.MetricsServer(
                self.metrics, self._node, self._role, self.refuse
            )
            try:
                await self._server.start(*self._metrics_address)
            except OSError as exc:
                # A role serves without its metrics rather than not at all.
                self._server = None
                self.log("error", "metrics.listen", detail=str(exc))
        self._flushing = asyncio.create_task(self._flush_regularly())
        if self._log is not None:
            loop = asyncio.get_running_loop()
            self._opening = loop.call_later(DEFER_SECONDS, self._log.open)

    async def close(self) -> None:
        """Write what is left and stop."""
        if self._opening is not None:
            self._opening.cancel()
        if self._flushing is not None:
            self._flushing.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._flushing
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
        """Log one line.

        Parameters
        ----------
        level : str
            ``debug``, ``info``, ``warning`` or ``error``.
        step : str
            What was being done.
        peer : str
            The other side.
        **fields
            Further values.
        """
        if self._log is not None:
            self._log.log(level, step, peer, fields)

    def refuse(self, step: str, peer: object, why: str) -> None:
        """Count input that was dropped, and log it at a limited rate.

        Parameters
        ----------
        step : str
            The check that refused it, such as ``frame.decode``.
        peer : object
            Where it came from.
        why : str
            The reason, from a small set.
        """
        self.metrics.count("refused_total", 1, {"step": step, "reason": why})
        if self._log is None:
            return
        left_out = self._limit.admit(self._clock(), (step, why))
        if left_out is None:
            return
        more = {"left_out": left_out} if left_out else {}
        self._log.log("warning", step, _peer(peer), {"reason": why, **more})

    def log_decision(self, level: str, step: str, fields: Mapping[str, Any]) -> None:
        """Log what a core decided, at a limited rate.

        Parameters
        ----------
        level, step : str
            As in `log`.
        fields : mapping
            What decided it, and the outcome.
        """
        if self._log is None:
            return
        left_out = self._decision_limit.admit(self._clock(), (step, level))
        if left_out is None:
            return
        more = {"left_out": left_out} if left_out else {}
        self._log.log(level, step, "", {**fields, **more})

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
        self, name: str, text: str, label: str, read: Callable[[], Mapping[Any, float]]
    ) -> None:
        """Add a metric that another object keeps.

        Parameters
        ----------
        name, text, label, read
            As in `metric_source.MetricSource`.
        """
        self.metrics.add_source(name, text, label, read)

    def add_drop_counter(
        self, step: str, read: Callable[[], Mapping[Any, float]]
    ) -> None:
        """Add the counter of drops of a core, and log at intervals how it grows.

        Parameters
        ----------
        step : str
            What drops, such as ``entry.core``.
        read : callable
            Returns the numbers of drops by reason.
        """
        self._drops[step] = read
        self.add_metric("dropped_total", "input that the core dropped", "reason", read)

    def export_span(self, action: record_span.RecordSpan) -> None:
        """Record a span."""
        if self._spans is not None:
            self._spans.record(action)

    def record_decision(
        self, now: float, event: msgspec.Struct, actions: list[msgspec.Struct]
    ) -> None:
        """Count an event, and record the decision for replay.

        Parameters
        ----------
        now : float
            Time that the core was given.
        event : msgspec.Struct
            Event that the core was given.
        actions : list of msgspec.Struct
            What the core returned.
        """
        kind = type(event)
        self._events[kind] = self._events.get(kind, 0) + 1
        if self._decisions is not None:
            self._decisions.record(now, event, actions)

    def _read_events(self) -> dict[str, float]:
        return {kind.__name__: count for kind, count in self._events.items()}

    async def _flush_regularly(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            self.report()
            for part in (self._log, self._spans, self._decisions):
                if part is not None:
                    part.flush()

    def report(self, at_end: bool = False) -> None:
        """Log what was counted but not logged line by line.

        Parameters
        ----------
        at_end : bool
            Whether the process ends, so that nothing may wait for later.
        """
        now = self._clock()
        for (step, why), count in self._limit.take_left_out(now, at_end).items():
            self.log("warning", step, reason=why, left_out=count)
        left_out = self._decision_limit.take_left_out(now, at_end)
        for (step, level), count in left_out.items():
            self.log(level, step, left_out=count)
        if at_end or now - self._reported_at >= rate_limit.PERIOD_SECONDS:
            self._reported_at = now
            self._report_drops()
        problem = self._decisions.problem if self._decisions is not None else None
        if problem is not None and not self._is_problem_reported:
            self._is_problem_reported = True
            self.log("error", problem.step, reason=problem.reason, detail=str(problem))

    def _report_drops(self) -> None:
        for step, read in self._drops.items():
            for why, total in read().items():
                before = self._reported.get((step, str(why)), 0)
                if total > before:
                    self._reported[step, str(why)] = total
                    self.log("warning", step, reason=str(why), dropped=total - before)


def disabled() -> Telemetry:
    """Return an object that reports nothing."""
    return Telemetry("", "")


def _peer(peer: object) -> str:
    if isinstance(peer, tuple) and len(peer) == 2:
        return f"{peer[0]}:{peer[1]}"
    return str(peer)
