"""Announcement of the upstream."""

from __future__ import annotations

import msgspec


class UpstreamAnnounced(msgspec.Struct, frozen=True, tag="upstream_announced"):
    """The upstream announced its class and state to its agent.

    Attributes
    ----------
    class_name : str
        Class that the upstream serves.
    run_id : str
        Identifier of the upstream's run; it changes with every restart.
    draining : bool
        Whether the upstream is shutting down and accepts no new flows.
    """

    class_name: str
    run_id: str
    draining: bool
