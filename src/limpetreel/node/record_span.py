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
        Start in seconds on the core's clock.
    ended_at : float
        End in seconds on the core's clock.
    attributes : dict of str to str
        What was decided and why.
    """

    trace_id: int
    name: str
    started_at: float
    ended_at: float
    attributes: dict[str, str]
