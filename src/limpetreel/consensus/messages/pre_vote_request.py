"""Request for a pre-vote."""

from __future__ import annotations

import msgspec


class PreVoteRequest(msgspec.Struct, frozen=True, tag="pre_vote_request"):
    """Asks whether the receiver would vote for the sender; starts no term.

    Attributes
    ----------
    term : int
        Term that the sender would start.
    last_index, last_term : int
        Index and term of the last entry of the sender's log.
    """

    term: int
    last_index: int
    last_term: int
