"""Acknowledgement of a claim."""

from __future__ import annotations

import msgspec

from limpetreel.requests import outcome as outcomes


class ClaimAck(msgspec.Struct, frozen=True, tag="claim_ack"):
    """Sent by holder or deputy when it has recorded the claim or an earlier one.

    Attributes
    ----------
    class_id : int
        Number of the class.
    bucket : int
        Bucket of the flow.
    claim_id : int
        Number of the claim.
    epoch : int
        Epoch at which the sender recorded it.
    is_holder : bool
        True from the holder, False from the deputy.
    granted : bool
        False if the request may have run elsewhere.
    deputy : int
        Node id of the deputy at this epoch; 0 if there is none.
    deputy_incarnation : int
        Incarnation of the deputy.
    outcome : outcomes.Outcome
        Known outcome of the request, if not granted.
    answer : bytes
        Known answer, if not granted.
    """

    class_id: int
    bucket: int
    claim_id: int
    epoch: int
    is_holder: bool
    granted: bool
    deputy: int
    deputy_incarnation: int
    outcome: outcomes.Outcome = outcomes.Outcome.UNKNOWN
    answer: bytes = b""
