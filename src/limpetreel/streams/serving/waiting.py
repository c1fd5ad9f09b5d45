"""Base class of what waits for a slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.configuration import route


class Waiting:
    """Opening or request that waits for a slot of the upstream.

    Parameters
    ----------
    key : bytes
        Key of the flow.
    route : Route
        Route of the flow.
    arrived_at : float
        Time of the first packet in seconds.
    expires_at : float
        Time in seconds at which the wait ends without a free slot.
    """

    __slots__ = ("answer_at", "arrived_at", "expires_at", "key", "number", "route")

    def __init__(
        self, key: bytes, route: route.Route, arrived_at: float, expires_at: float
    ) -> None:
        self.key = key
        self.route = route
        self.arrived_at = arrived_at
        self.expires_at = expires_at
        self.answer_at = arrived_at + route.answer_ms / 1000
        self.number = 0
