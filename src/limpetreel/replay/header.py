"""First record of a decision log."""

from __future__ import annotations

import msgspec


class Header(msgspec.Struct, frozen=True, tag="header"):
    """What is needed to rebuild the core.

    Attributes
    ----------
    role : str
        ``entry``, ``agent`` or ``control``.
    settings : bytes
        Settings without secrets, in MessagePack.
    incarnation : int
        Incarnation of the process.
    seed : int
        Seed of the core's random choices.
    """

    role: str
    settings: bytes
    incarnation: int
    seed: int
