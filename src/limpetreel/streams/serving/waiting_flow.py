"""New flow that waits for a slot."""

from __future__ import annotations

import msgspec


class WaitingFlow(msgspec.Struct, frozen=True, order=True):
    """Element of the opening queue, ordered by priority and arrival.

    Attributes
    ----------
    priority : int
        Priority of the route; 0 is the highest.
    number : int
        Order of arrival.
    expires_at : float
        Time at which the flow is refused.
    offer_id : int
        Identifier of the offer.
    entry : tuple of (str, int)
        Address of the entry that sent the offer.
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
