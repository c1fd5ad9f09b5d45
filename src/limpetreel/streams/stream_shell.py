"""Base class of the shells of entries and agents."""

from __future__ import annotations

import abc
import asyncio
import time
from typing import TYPE_CHECKING

from limpetreel.node import tick
from limpetreel.streams.actions import (
    histogram_sample,
    log_line,
    send_caller,
    send_node,
    send_upstream,
)
from limpetreel.streams.events import fleet_changed

if TYPE_CHECKING:
    import msgspec

    from limpetreel.cluster import control_client, fleet_view
    from limpetreel.core import core
    from limpetreel.telemetry import telemetry

SOON_SECONDS = 0.02
"""Interval of ticks while an answer is awaited; a quarter of the shortest limit."""
IDLE_SECONDS = 0.25
LATE_SECONDS = 0.5
"""Delay of a tick above which a warning is logged that the process was paused."""


class StreamShell(abc.ABC):
    """Passes events to a core and carries out its actions.

    Parameters
    ----------
    core : Core
        Decision logic.
    telemetry : Telemetry
        Logs and metrics.
    """

    def __init__(self, core: core.Core, telemetry: telemetry.Telemetry) -> None:
        self._decisions = core
        self._telemetry = telemetry
        self._control: control_client.ControlClient | None = None
        self._tick_timer: asyncio.TimerHandle | None = None
        self._tick_at = float("inf")

    def attach(self, control: control_client.ControlClient) -> None:
        """Set the connection to control."""
        self._control = control

    def apply_update(self, view: fleet_view.FleetView, complete_until: float) -> None:
        """Apply an update from control."""
        self._handle(fleet_changed.FleetChanged(view, complete_until))

    def _handle(self, event: msgspec.Struct) -> None:
        try:
            actions = self._decisions.handle(time.monotonic(), event)
            self._telemetry.record_decision(0.0, event, actions)
            for action in actions:
                self._execute(action)
        except Exception as exc:  # the other flows must go on
            self._log_error(type(event).__name__, exc)
        if self._tick_at > time.monotonic() + SOON_SECONDS and self._needs_tick_soon():
            self._schedule(SOON_SECONDS)

    def _log_error(self, name: str, exc: Exception) -> None:
        fields = {"event": name, "detail": repr(exc)}
        self._telemetry.log_decision("error", "node.event_failed", fields)

    def _execute(self, action: msgspec.Struct) -> None:
        match action:
            case send_node.SendNode():
                self._send_node(action.data, action.address)
            case send_caller.SendCaller():
                self._send_caller(action.data, action.host)
            case send_upstream.SendUpstream():
                self._send_upstream(action.data)
            case histogram_sample.HistogramSample():
                self._telemetry.observe(action.name, action.seconds)
            case log_line.LogLine():
                self._telemetry.log_decision(action.level, action.step, action.fields)

    def _schedule(self, seconds: float) -> None:
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        loop = asyncio.get_running_loop()
        self._tick_at = loop.time() + seconds
        self._tick_timer = loop.call_later(seconds, self._tick)

    def _tick(self) -> None:
        late = time.monotonic() - self._tick_at
        if late > LATE_SECONDS:
            self._telemetry.log("warning", "process.late", seconds=round(late, 3))
        self._tick_at = float("inf")
        self._handle(tick.Tick())
        try:
            self._after_tick()
        except Exception as exc:  # the ticks must go on
            self._log_error("after_tick", exc)
        if self._tick_at == float("inf"):
            is_soon = self._needs_tick_soon()
            self._schedule(SOON_SECONDS if is_soon else IDLE_SECONDS)

    def _after_tick(self) -> None:  # noqa: B027 - an entry has nothing to do
        """Run the work of the role after each tick."""

    @abc.abstractmethod
    def _needs_tick_soon(self) -> bool:
        """Return whether the core waits for an answer."""

    @abc.abstractmethod
    def _send_node(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a message to another node."""

    @abc.abstractmethod
    def _send_caller(self, data: bytes, host: str) -> None:
        """Send a packet to a caller's machine."""

    def _send_upstream(self, data: bytes) -> None:
        """Send a packet to the upstream; only agents have one."""
        raise TypeError("only agents send to upstreams")
