"""Base class of the adaptive concurrency limit algorithms."""

from __future__ import annotations

import abc


class ConcurrencyLimiter(abc.ABC):
    """Adapts the number of concurrent requests to a warm upstream.

    Only requests that were sent while the limit was fully used are recorded,
    because the others do not show whether the limit is right.
    """

    @property
    @abc.abstractmethod
    def limit(self) -> int:
        """Number of requests that may be open at once, at least 1."""

    @abc.abstractmethod
    def record_block(self, mean: float, baseline: float) -> None:
        """Adapt the limit to the mean latency of a block of requests.

        Parameters
        ----------
        mean : float
            Mean latency in seconds of requests sent at full use of the limit.
        baseline : float
            Lowest recent mean latency in seconds.
        """

    @abc.abstractmethod
    def record_shed(self, open_at_send: int) -> None:
        """Adapt the limit to a request that the upstream shed.

        Parameters
        ----------
        open_at_send : int
            Open requests including this one when it was sent.
        """

    @abc.abstractmethod
    def restart_at(self, limit: int) -> None:
        """Continue from a limit that slow start has reached."""
