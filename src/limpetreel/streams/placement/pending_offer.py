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
    service : str
        Service of the flow.
    timeout : float
        Seconds for which the caller waits for the answer.
    """

    __slots__ = (
        "asked_at",
        "best",
        "best_wait",
        "flow",
        "is_queued",
        "may_wait",
        "offer_id",
        "packet",
        "reasons",
        "retry_at",
        "service",
        "started_at",
        "target",
        "timeout",
        "tried",
    )

    def __init__(
        self, now: float, flow: bytes, packet: bytes, service: str, timeout: float
    ) -> None:
        self.flow = flow
        self.packet = packet
        self.service = service
        self.timeout = timeout
        self.started_at = now
        self.asked_at = now
        self.offer_id = 0
        self.target = ""
        self.tried: set[str] = set()
        self.reasons: dict[str, int] = {}
        self.best = ""
        self.best_wait = float("inf")
        self.may_wait = False
        self.is_queued = False
        self.retry_at = 0.0
