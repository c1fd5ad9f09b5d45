"""Reply to a pre-vote request."""

from __future__ import annotations

import msgspec


class PreVoteReply(msgspec.Struct, frozen=True, tag="pre_vote_reply"):
    """Reply to `PreVoteRequest`.

    Attributes
    ----------
    term : int
        Term of the replying instance.
    asked_term : int
        Term in the request.
    granted : bool
        Whether the replying instance would vote for the sender of the request.
    """

    term: int
    asked_term: int
    granted: bool
