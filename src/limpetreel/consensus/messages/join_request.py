"""Request to join the group."""

from __future__ import annotations

import msgspec


class JoinRequest(msgspec.Struct, frozen=True, tag="join_request"):
    """Sent by an instance that has no contact with a leader, as after a lost disk.

    Attributes
    ----------
    name : str
        Name of the instance.
    incarnation : int
        Number of its data folder.
    address : str
        Its address.
    """

    name: str
    incarnation: int
    address: str
