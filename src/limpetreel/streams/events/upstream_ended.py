"""End of the process of an upstream."""

from __future__ import annotations

import msgspec


class UpstreamEnded(msgspec.Struct, frozen=True):
    """Nothing listens at the address of an upstream any more.

    Attributes
    ----------
    instance_id : str
        Id of the start of the upstream.
    """

    instance_id: str
