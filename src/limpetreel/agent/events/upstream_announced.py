"""An announcement of the upstream."""

from __future__ import annotations

import msgspec


class UpstreamAnnounced(msgspec.Struct, frozen=True, tag="upstream_announced"):
    """The upstream told its agent about itself.

    Attributes
    ----------
    class_name : str
        Class that the upstream serves.
    run_id : str
        Differs after each start of the upstream.
    draining : bool
        Whether the upstream is leaving.
    """

    class_name: str
    run_id: str
    draining: bool
