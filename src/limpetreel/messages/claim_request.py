"""Request for the permission to run a caller's request."""

from __future__ import annotations

import msgspec

from limpetreel.requests import request_key


class ClaimRequest(msgspec.Struct, frozen=True, tag="claim_request"):
    """Sent by an owner to holder and backup before it runs a non-idempotent request.

    Attributes
    ----------
    class_id : int
        Number of the class.
    bucket : int
        Bucket of the flow.
    claim_id : int
        Number of the claim, unique within the incarnation.
    key : request_key.RequestKey
        The request.
    held_ms : int
        Time for which the sender has owned the flow.
    """

    class_id: int
    bucket: int
    claim_id: int
    key: request_key.RequestKey
    held_ms: int
