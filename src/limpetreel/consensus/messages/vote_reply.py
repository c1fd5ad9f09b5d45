"""Reply to a vote request."""

from __future__ import annotations

import msgspec


class VoteReply(msgspec.Struct, frozen=True, tag="vote_reply"):
    """Reply to `VoteRequest`.

    Attributes
    ----------
    term : int
        Term of the replying instance.
    granted : bool
        Whether it voted for the sender of the request in that term.
    """

    term: int
    granted: bool
