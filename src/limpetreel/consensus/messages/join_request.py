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
    is_durable : bool
        Whether its log is on a disk that a loss of power does not erase.
    """

    name: str
    incarnation: int
    address: str
    is_durable: bool = True
