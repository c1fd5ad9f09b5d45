"""Request for a vote."""

from __future__ import annotations

import msgspec


class VoteRequest(msgspec.Struct, frozen=True, tag="vote_request"):
    """Asks for a vote in a term that the sender has started.

    Attributes
    ----------
    term : int
        The term.
    last_index, last_term : int
        Index and term of the last entry of the sender's log.
    """

    term: int
    last_index: int
    last_term: int
