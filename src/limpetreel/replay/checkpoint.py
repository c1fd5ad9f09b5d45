"""State of a core at the beginning of a file."""

from __future__ import annotations

import msgspec


class Checkpoint(msgspec.Struct, frozen=True, tag="checkpoint"):
    """Second record of a decision log.

    Attributes
    ----------
    state : bytes
        The pickled core; empty for a core that has handled no event.
    """

    state: bytes
