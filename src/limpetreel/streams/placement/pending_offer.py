"""New flow that an entry is placing."""

from __future__ import annotations


class PendingOffer:
    """State of the search for an upstream.

    Parameters
    ----------
    now : float
        Time of the opening packet.
    flow : bytes
        Key of the flow.
    packet : bytes
        The opening packet.
    route : str
        Route of the flow.
    service : str
        Service of the flow.
    target_seconds : float
        Latency target of its requests.
    is_copy : bool
        Whether the packet repeats an earlier one, for which another entry may have
        placed the flow.
    max_offers : int
        Offers until the flow is held or refused, unless the search starts again.
    """

    __slots__ = (
        "asked_at",
        "busy_answers",
        "flow",
        "is_copy",
        "is_decided",
        "is_queued",
        "max_offers",
        "may_wait",
        "offer_id",
        "offers",
        "packet",
        "reasons",
        "retry_at",
        "route",
        "service",
        "started_at",
        "target",
        "target_seconds",
        "tried",
        "unanswered",
    )

    def __init__(
        self,
        now: float,
        flow: bytes,
        packet: bytes,
        route: str,
        service: str,
        target_seconds: float,
        is_copy: bool,
        max_offers: int,
    ) -> None:
        self.flow = flow
        self.packet = packet
        self.route = route
        self.service = service
        self.target_seconds = target_seconds
        self.is_copy = is_copy
        self.started_at = now
        self.asked_at = now
        self.offer_id = 0
        self.target = ""
        self.tried: set[str] = set()
        self.unanswered: list[int] = []
        self.reasons: dict[str, int] = {}
        self.offers = 0
        self.max_offers = max_offers
        self.busy_answers = 0
        self.may_wait = False
        self.is_queued = False
        self.is_decided = False
        self.retry_at = 0.0

    @property
    def may_have_opened(self) -> bool:
        """Return whether a reset could hit an open flow.

        An agent that has not answered may have accepted the flow.
        """
        return self.is_copy or bool(self.unanswered)

    @property
    def is_unresponsive(self) -> bool:
        """Return whether no upstream answered the agents that were asked."""
        return self.reasons.keys() == {"UNRESPONSIVE"}

    def restart(self) -> None:
        """Allow offers to all agents again."""
        self.tried.clear()
        self.retry_at = 0.0
        self.offers = 0
        self.busy_answers = 0
        self.may_wait = False
