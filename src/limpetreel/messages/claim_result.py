"""Result of a claimed request."""

from __future__ import annotations

import msgspec

from limpetreel.requests import outcome as outcomes
from limpetreel.requests import request_key


class ClaimResult(msgspec.Struct, frozen=True, tag="claim_result"):
    """Sent by the owner to holder and backup when the request has ended.

    Attributes
    ----------
    class_id : int
        Number of the class.
    bucket : int
        Bucket of the flow.
    claim_id : int
        Number of the claim.
    key : request_key.RequestKey
        The request.
    outcome : outcomes.Outcome
        Outcome of the request.
    answer : bytes
        The answer, empty if it is too large to copy.
    """

    class_id: int
    bucket: int
    claim_id: int
    key: request_key.RequestKey
    outcome: outcomes.Outcome
    answer: bytes = b""
