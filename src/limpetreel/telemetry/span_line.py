"""One span in a trace file."""

from __future__ import annotations

import msgspec


class SpanLine(msgspec.Struct, frozen=True):
    """A line of a trace file.

    Attributes
    ----------
    trace_id : str
        Trace of the packet, 16 hexadecimal digits.
    span_id : str
        The span, 16 hexadecimal digits.
    parent_id : str
        Span above it, empty for the first span of a trace.
    name : str
        Name of the hop, such as ``agent.upstream``.
    node : str
        Process that recorded it.
    start_ns, end_ns : int
        Start and end in nanoseconds since 1970 on the node's clock.
    attributes : dict of str to str
        What was decided and why.
    """

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    node: str
    start_ns: int
    end_ns: int
    attributes: dict[str, str]
