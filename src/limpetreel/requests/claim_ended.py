"""Action: a claim has ended."""

from __future__ import annotations

import msgspec

from limpetreel.requests import outcome as outcomes
from limpetreel.requests import request_key


class ClaimEnded(msgspec.Struct, frozen=True, tag="claim_ended"):
    """Continue a request whose claim was granted, was refused or timed out.

    Attributes
    ----------
    key : RequestKey
        The request.
    claim_id : int
        Number of the claim.
    granted : bool
        True if the request may be sent to the upstream, once.
    timed_out : bool
        True if acknowledgements are missing; the request must be refused with
        `RequestLog.refuse`.
    is_sole : bool
        True if no earlier owner can have run a request that timed out.
    outcome : Outcome
        Outcome for the caller if the claim was neither granted nor timed out.
    answer : bytes
        Answer recorded with an earlier claim; empty if there is none.
    """

    key: request_key.RequestKey
    claim_id: int
    granted: bool
    timed_out: bool
    is_sole: bool = False
    outcome: outcomes.Outcome = outcomes.Outcome.UNKNOWN
    answer: bytes = b""
