"""Record one hop of a trace."""

from __future__ import annotations

import msgspec


class RecordSpan(msgspec.Struct, frozen=True, tag="record_span"):
    """A finished span.

    Attributes
    ----------
    trace_id : int
        Trace of the packet, 64 bits.
    name : str
        Name of the hop, such as ``entry.forward``.
    started_at : float
        Start time in seconds, as passed to the core.
    ended_at : float
        End time in seconds, as passed to the core.
    attributes : dict of str to str
        Details of the decision.
    """

    trace_id: int
    name: str
    started_at: float
    ended_at: float
    attributes: dict[str, str]
