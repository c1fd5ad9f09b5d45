"""Announcement of the upstream."""

from __future__ import annotations

import msgspec

from limpetreel.streams import upstream_status


class UpstreamAnnounced(msgspec.Struct, frozen=True, tag="upstream_announced"):
    """The upstream beside an agent has announced its status.

    Attributes
    ----------
    status : UpstreamStatus
        Announced status.
    """

    status: upstream_status.UpstreamStatus
