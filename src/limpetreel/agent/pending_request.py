"""Request that has no outcome yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.agent import request
    from limpetreel.requests import request_key
    from limpetreel.wire import packet


class PendingRequest:
    """State of a request between its arrival and its outcome.

    Parameters
    ----------
    request_id : int
        Id of the request, unique within this agent.
    key : RequestKey
        Identity of the request.
    received_packet : Packet
        Packet that carried the request.
    req : Request
        The request.
    deadline_at : float
        Time by which the answer must be sent, in seconds.

    Attributes
    ----------
    claim_id : int
        Id of the granted claim, 0 if there is none.
    token : bytes
        Token of the request on the upstream side; empty until it is sent.
    sent_at : float
        Time at which it was last sent to the upstream, in seconds.
    retries : int
        Number of retries so far.
    """

    __slots__ = (
        "claim_id",
        "deadline_at",
        "key",
        "received_packet",
        "req",
        "request_id",
        "retries",
        "sent_at",
        "token",
    )

    def __init__(
        self,
        request_id: int,
        key: request_key.RequestKey,
        received_packet: packet.Packet,
        req: request.Request,
        deadline_at: float,
    ) -> None:
        self.request_id = request_id
        self.key = key
        self.received_packet = received_packet
        self.req = req
        self.deadline_at = deadline_at
        self.claim_id = 0
        self.token = b""
        self.sent_at = 0.0
        self.retries = 0
