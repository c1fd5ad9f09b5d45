"""Change of a zone's service."""

from __future__ import annotations

import msgspec


class SetZone(msgspec.Struct, frozen=True, tag="set_zone"):
    """Take a data centre out of service, or back in.

    Attributes
    ----------
    name : str
        The data centre.
    is_out : bool
        Whether it takes no new flows.
    """

    name: str
    is_out: bool
