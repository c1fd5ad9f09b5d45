"""Question whether an election could succeed."""

from __future__ import annotations

import msgspec


class PreVoteRequest(msgspec.Struct, frozen=True, tag="pre_vote_request"):
    """Asks for a vote without starting a term.

    Attributes
    ----------
    term : int
        Term that the sender would start.
    last_index, last_term : int
        End of the sender's log.
    """

    term: int
    last_index: int
    last_term: int
