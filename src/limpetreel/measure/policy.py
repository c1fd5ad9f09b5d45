"""Base class of the policies that are compared."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.measure import arrival_event


class Policy(abc.ABC):
    """Chooses an upstream for each request."""

    @abc.abstractmethod
    def request(self, arrival: arrival_event.ArrivalEvent) -> None:
        """Take a request."""

    @abc.abstractmethod
    def answered(self, now: float, index: int, request_id: int, is_shed: bool) -> None:
        """Take the answer of an upstream to a request."""

    @abc.abstractmethod
    def restarted(self, now: float, index: int) -> None:
        """Take the announcement of a new run id."""

    @abc.abstractmethod
    def tick(self, now: float) -> None:
        """Take the passing of time."""
