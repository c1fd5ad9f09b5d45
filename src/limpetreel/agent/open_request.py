"""A request that the upstream has been sent."""

from __future__ import annotations

import msgspec

from limpetreel.agent import request
from limpetreel.wire import packet


class OpenRequest(msgspec.Struct, frozen=True):
    """A request that waits for its answer.

    Attributes
    ----------
    packet : Packet
        The packet that brought it.
    request : Request
        The request.
    sent_at : float
        When it was sent to the upstream, in seconds.
    """

    packet: packet.Packet
    request: request.Request
    sent_at: float
