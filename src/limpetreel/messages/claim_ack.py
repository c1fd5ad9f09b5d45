"""Acknowledgement of a claim."""

from __future__ import annotations

import msgspec

from limpetreel.requests import outcome as outcomes


class ClaimAck(msgspec.Struct, frozen=True, tag="claim_ack"):
    """Sent by holder or backup when it has recorded the claim or an earlier one.

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
        True from the holder, False from the backup.
    granted : bool
        False if the request may have run elsewhere.
    backup : int
        Node id of the backup at this epoch; 0 if there is none.
    backup_incarnation : int
        Incarnation of the backup.
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
    backup: int = msgspec.field(name="deputy")
    backup_incarnation: int = msgspec.field(name="deputy_incarnation")
    outcome: outcomes.Outcome = outcomes.Outcome.UNKNOWN
    answer: bytes = b""
