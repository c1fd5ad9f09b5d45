"""Status that an upstream announces."""

from __future__ import annotations

import msgspec


class UpstreamStatus(msgspec.Struct, frozen=True):
    """One announcement of an upstream.

    Attributes
    ----------
    instance_id : str
        Identifies a start of the upstream, unless it keeps its id.
    started_ms : int or None
        Time of its start, in milliseconds since 1970 on its own clock; None if it
        was not announced.
    sequence : int
        Increases with each announcement of one start.
    service : str
        Service to which it belongs.
    slots : int
        Requests that it processes concurrently.
    is_draining : bool
        Whether it takes no new flows, since it is about to leave.
    cold_ms : int
        Time for which it stays cold.
    """

    instance_id: str
    started_ms: int | None
    sequence: int
    service: str
    slots: int
    is_draining: bool
    cold_ms: int
