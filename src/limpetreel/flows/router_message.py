"""Messages between the agents of a class."""

from __future__ import annotations

from limpetreel.messages import (
    claim_ack,
    claim_request,
    claim_result,
    directory_ack,
    directory_update,
    flows_held,
    handover_reply,
    handover_request,
    offer_refused,
)

RouterMessage = (
    offer_refused.OfferRefused
    | handover_request.HandoverRequest
    | handover_reply.HandoverReply
    | directory_update.DirectoryUpdate
    | directory_ack.DirectoryAck
    | flows_held.FlowsHeld
    | claim_request.ClaimRequest
    | claim_ack.ClaimAck
    | claim_result.ClaimResult
)
