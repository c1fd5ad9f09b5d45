"""Interface from a policy to the fake upstreams and callers."""

from __future__ import annotations

import abc


class Transport(abc.ABC):
    """Sends the requests and refusals that a policy decides on."""

    @abc.abstractmethod
    def send(self, now: float, index: int, request_id: int) -> None:
        """Send a request to an upstream."""

    @abc.abstractmethod
    def cancel(self, now: float, index: int, request_id: int) -> None:
        """Cancel a request at an upstream."""

    @abc.abstractmethod
    def refuse(self, now: float, request_id: int) -> None:
        """Refuse a request as not run."""
