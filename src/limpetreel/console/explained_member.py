"""One member in the explanation of a flow."""

from __future__ import annotations

import msgspec


class ExplainedMember(msgspec.Struct, frozen=True):
    """Role of a member in the assignment of a flow.

    Attributes
    ----------
    name, zone, state : str
        The member.
    share : int
        Its share.
    cost : int
        Its cost for the bucket; the lowest cost wins.
    part : str
        ``primary``, ``deputy``, ``candidate``, or the reason why it is excluded.
    """

    name: str
    zone: str
    state: str
    share: int
    cost: int
    part: str
