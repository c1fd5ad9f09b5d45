"""Request to accept a data folder as that of a first member."""

from __future__ import annotations

import msgspec


class FoundingRequest(msgspec.Struct, frozen=True, tag="founding_request"):
    """Sent by a first member to all others until each has accepted it.

    Attributes
    ----------
    name : str
        Name of the sender.
    folder : int
        Number of its data folder.
    address : str
        Where the reply is sent.
    """

    name: str
    folder: int
    address: str
