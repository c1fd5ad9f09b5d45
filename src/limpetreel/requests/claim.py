"""Claim on a non-idempotent request."""

from __future__ import annotations

import msgspec

from limpetreel.requests import outcome as outcomes
from limpetreel.requests import request_key


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """Exclusive right of a flow owner to run one non-idempotent request.

    Attributes
    ----------
    key : request_key.RequestKey
        The request.
    owner : int
        Node id of the owner.
    incarnation : int
        Incarnation of the owner.
    claim_id : int
        Number of the claim, unique within the incarnation.
    outcome : outcomes.Outcome | None
        Outcome reported by the owner; None if there is none yet.
    answer : bytes
        The answer, empty if there is none or it was too large to copy.
    age_ms : int
        Age of the claim when it was sent.
    """

    key: request_key.RequestKey
    owner: int
    incarnation: int
    claim_id: int
    outcome: outcomes.Outcome | None = None
    answer: bytes = b""
    age_ms: int = 0
