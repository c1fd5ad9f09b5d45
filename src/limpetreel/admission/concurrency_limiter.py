"""Base class of the algorithms that find the concurrency limit."""

from __future__ import annotations

import abc


class ConcurrencyLimiter(abc.ABC):
    """Finds how many requests a warm upstream bears at once.

    Only requests that were sent while the limit was fully used are reported,
    because the others do not show whether the limit is right.
    """

    @property
    @abc.abstractmethod
    def limit(self) -> int:
        """Number of requests that may be open at once, at least 1."""

    @abc.abstractmethod
    def note_block(self, mean: float, baseline: float) -> None:
        """Adapt the limit to the mean latency of a block of requests.

        Parameters
        ----------
        mean : float
            Mean latency in seconds of requests sent at full use of the limit.
        baseline : float
            Lowest recent mean latency in seconds.
        """

    @abc.abstractmethod
    def note_shed(self, open_at_send: int) -> None:
        """Adapt the limit to a request that the upstream shed.

        Parameters
        ----------
        open_at_send : int
            Open requests after the request was sent.
        """

    @abc.abstractmethod
    def restart_at(self, limit: int) -> None:
        """Continue from a limit that slow start has reached."""
