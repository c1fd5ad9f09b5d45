"""Way from a policy to the fake upstreams and callers."""

from __future__ import annotations

import abc


class Transport(abc.ABC):
    """What a policy may do."""

    @abc.abstractmethod
    def send(self, now: float, index: int, request_id: int) -> None:
        """Send a request to an upstream."""

    @abc.abstractmethod
    def cancel(self, now: float, index: int, request_id: int) -> None:
        """Send an upstream a cancellation."""

    @abc.abstractmethod
    def refuse(self, now: float, request_id: int) -> None:
        """Refuse a request as not run."""
