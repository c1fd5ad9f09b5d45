"""Request to be added."""

from __future__ import annotations

import msgspec


class JoinRequest(msgspec.Struct, frozen=True, tag="join_request"):
    """Sent by an instance without a vote that hears no leader, as after a lost disk.

    Attributes
    ----------
    name : str
        Name of the instance.
    incarnation : int
        Number of its data folder.
    address : str
        Where it is reached.
    """

    name: str
    incarnation: int
    address: str
