"""Question about several flows, and the answers to it so far."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from limpetreel.streams.ownership import sought_flow

    Address = tuple[str, int]


class Question:
    """Flows that agents were asked for in one message.

    Most answers deny all flows. They are collected and applied to the flows together,
    which takes far less processor time.

    Parameters
    ----------
    now : float
        Time in seconds at which it was asked.
    flows : sequence of SoughtFlow
        The flows.
    agents : iterable of (str, int)
        Agents that were asked.
    """

    __slots__ = ("asked_at", "denied", "flows", "unanswered")

    def __init__(
        self,
        now: float,
        flows: Sequence[sought_flow.SoughtFlow],
        agents: Iterable[Address],
    ) -> None:
        self.asked_at = now
        self.flows = flows
        self.unanswered = set(agents)
        self.denied: set[Address] = set()

    def take_denied(self) -> set[Address]:
        """Remove and return the agents whose denial is not applied yet."""
        denied, self.denied = self.denied, set()
        return denied
