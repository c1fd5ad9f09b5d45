"""Question about the owners of several flows."""

from __future__ import annotations

import msgspec

from limpetreel.streams.messages import sought


class Search(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Sent by an entry to each agent that may own the flows.

    Attributes
    ----------
    flows : tuple of Sought
        The flows; the agent answers with one `Holdings` for all of them.
    number : int
        Number of the question, which the answer repeats; 0 from an older entry.
    """

    flows: tuple[sought.Sought, ...]
    number: int = 0
