"""One span in a trace file."""

from __future__ import annotations

import msgspec


class SpanLine(msgspec.Struct, frozen=True):
    """A line of a trace file.

    Attributes
    ----------
    trace_id : str
        Id of the packet's trace, 16 hexadecimal digits.
    span_id : str
        Id of the span, 16 hexadecimal digits.
    parent_id : str
        Id of the parent span, empty for the root span of a trace.
    name : str
        Name of the hop, such as ``agent.upstream``.
    node : str
        Process that recorded it.
    start_ns, end_ns : int
        Start and end in nanoseconds since the Unix epoch on the node's clock.
    attributes : dict of str to str
        Decision of the node and its reason.
    """

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    node: str
    start_ns: int
    end_ns: int
    attributes: dict[str, str]
