"""Filter for the decision log of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.entry.events import caller_datagram
from limpetreel.node import frame_arrived, record_span, tick
from limpetreel.replay import event_filter
from limpetreel.wire import kind

if TYPE_CHECKING:
    import msgspec

    from limpetreel.entry import entry_core


class EntryFilter(event_filter.EventFilter):
    """Records changes of table and lease, messages and sampled packets.

    The target of any other packet follows from the table and the flow alone.

    Parameters
    ----------
    core : EntryCore
        The core whose events are recorded.
    """

    def __init__(self, core: entry_core.EntryCore) -> None:
        self._core = core
        self._last_mark = core.change_marker

    def is_kept(self, event: msgspec.Struct, actions: list[msgspec.Struct]) -> bool:
        """Return whether an event changed the core or is a sampled packet."""
        mark = self._core.change_marker
        if mark != self._last_mark:
            self._last_mark = mark
            return True
        if isinstance(event, caller_datagram.CallerDatagram):
            return _is_sampled(actions)
        if isinstance(event, frame_arrived.FrameArrived):
            return event.frame.kind == kind.Kind.MESSAGE or _is_sampled(actions)
        # A tick without actions does not change the core.
        return bool(actions) or not isinstance(event, tick.Tick)

    def is_counted(self, event: msgspec.Struct, actions: list[msgspec.Struct]) -> bool:
        """Return True for forwarded packets, which the core counts for sampling."""
        return bool(actions) and isinstance(event, caller_datagram.CallerDatagram)


def _is_sampled(actions: list[msgspec.Struct]) -> bool:
    return any(isinstance(a, record_span.RecordSpan) for a in actions)
