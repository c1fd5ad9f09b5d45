"""Answer to a request to accept a data folder."""

from __future__ import annotations

import msgspec


class FoundingReply(msgspec.Struct, frozen=True, tag="founding_reply"):
    """Answer to `FoundingRequest`.

    Attributes
    ----------
    name : str
        Name of the replying instance.
    folder : int
        Number in the request.
    accepted : bool
        False if another data folder of the same name was accepted before.
    """

    name: str
    folder: int
    accepted: bool
