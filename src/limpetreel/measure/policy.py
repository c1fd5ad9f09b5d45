"""Base class of the compared placement policies."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.measure import arrival_event


class Policy(abc.ABC):
    """Selects an upstream for each request."""

    @abc.abstractmethod
    def handle_request(self, arrival: arrival_event.ArrivalEvent) -> None:
        """Place a request from a caller."""

    @abc.abstractmethod
    def handle_answer(
        self, now: float, index: int, request_id: int, is_shed: bool
    ) -> None:
        """Handle the answer of an upstream to a request."""

    @abc.abstractmethod
    def handle_restart(self, now: float, index: int) -> None:
        """Handle the announcement of a new run id, which means a restart."""

    @abc.abstractmethod
    def tick(self, now: float) -> None:
        """Handle the regular timer."""
