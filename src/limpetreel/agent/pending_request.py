"""A request from its arrival to its end."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.agent import request
    from limpetreel.requests import request_key
    from limpetreel.wire import packet


class PendingRequest:
    """A request that has no outcome yet.

    Parameters
    ----------
    number : int
        Number of the request at this agent.
    key : RequestKey
        Identity of the request.
    carrier : Packet
        The packet that brought it.
    req : Request
        The request.
    deadline_at : float
        When the answer must have been sent, in seconds.

    Attributes
    ----------
    claim_id : int
        Number of the granted claim, 0 without one.
    token : bytes
        Token towards the upstream, empty until the request is sent.
    sent_at : float
        When it was sent to the upstream, in seconds.
    retries : int
        How often it has been sent again.
    """

    __slots__ = (
        "carrier",
        "claim_id",
        "deadline_at",
        "key",
        "number",
        "req",
        "retries",
        "sent_at",
        "token",
    )

    def __init__(
        self,
        number: int,
        key: request_key.RequestKey,
        carrier: packet.Packet,
        req: request.Request,
        deadline_at: float,
    ) -> None:
        self.number = number
        self.key = key
        self.carrier = carrier
        self.req = req
        self.deadline_at = deadline_at
        self.claim_id = 0
        self.token = b""
        self.sent_at = 0.0
        self.retries = 0
