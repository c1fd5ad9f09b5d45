"""New flow that waits for a slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams.serving import waiting

if TYPE_CHECKING:
    from limpetreel.configuration import route


class WaitingOpening(waiting.Waiting):
    """Opening packet of a flow, which is refused if its wait expires.

    Its attribute `offers` holds the identifier of the latest offer of each entry, as
    each awaits an answer. `is_late` tells whether it can no longer be answered in time.

    Parameters
    ----------
    key : bytes
        Key of the flow.
    route : Route
        Route of the flow.
    arrived_at, expires_at : float
        See `waiting.Waiting`.
    offer_id : int
        Identifier of the offer.
    entry : tuple of (str, int)
        Address of the entry that sent the offer.
    packet : bytes
        The opening packet.
    """

    __slots__ = ("is_late", "offers", "packet")

    def __init__(
        self,
        key: bytes,
        route: route.Route,
        arrived_at: float,
        expires_at: float,
        offer_id: int,
        entry: tuple[str, int],
        packet: bytes,
    ) -> None:
        super().__init__(key, route, arrived_at, expires_at)
        self.offers = {entry: offer_id}
        self.packet = packet
        self.is_late = False
