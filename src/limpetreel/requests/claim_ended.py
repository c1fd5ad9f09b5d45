"""Result of a claim at its owner."""

from __future__ import annotations

import msgspec

from limpetreel.requests import outcome as outcomes
from limpetreel.requests import request_key


class ClaimEnded(msgspec.Struct, frozen=True, tag="claim_ended"):
    """Action: go on with a request whose claim has ended.

    Attributes
    ----------
    key : RequestKey
        The request.
    claim_id : int
        Number of the claim.
    granted : bool
        True if the request may be sent to the upstream, once.
    timed_out : bool
        True if acknowledgements were missing; refuse with `RequestLog.refuse`.
    is_sole : bool
        True if no earlier owner can have run a request that timed out.
    outcome : Outcome
        What to tell the caller if neither of the two holds.
    answer : bytes
        Known answer.
    """

    key: request_key.RequestKey
    claim_id: int
    granted: bool
    timed_out: bool
    is_sole: bool = False
    outcome: outcomes.Outcome = outcomes.Outcome.UNKNOWN
    answer: bytes = b""
