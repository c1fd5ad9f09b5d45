"""New flow that waits for a slot."""

from __future__ import annotations

import msgspec


class WaitingFlow(msgspec.Struct, frozen=True, order=True):
    """Entry of the queue, ordered by priority and arrival.

    Attributes
    ----------
    priority : int
        Priority of the route; 0 goes first.
    number : int
        Order of arrival.
    expires_at : float
        When the flow is refused.
    offer_id : int
        Offer of the entry.
    entry : tuple of (str, int)
        Where the offer came from.
    flow : bytes
        Key of the flow.
    packet : bytes
        The opening packet.
    """

    priority: int
    number: int
    expires_at: float
    offer_id: int
    entry: tuple[str, int]
    flow: bytes
    packet: bytes
