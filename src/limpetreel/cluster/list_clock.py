"""When the list of upstreams that a node has received counts as complete."""

from __future__ import annotations

SETTLED_SECONDS = 2.0
"""Time after which a control instance with a lease has heard of all upstreams, even if
it has just started: agents leave one without a lease within 1.5 s. Applies where the
instance does not know which agents have to report."""
MISSING_SECONDS = 2.0
"""Time after which a registered agent that has not reported is no longer waited for.
With 8 s, callers of flows that had ended ran into their time limits for that long
after a loss of power, since an upstream had been lost for good shortly before."""


class ListClock:
    """Follows the updates of one control instance."""

    def __init__(self) -> None:
        self._confirmed_since: float | None = None
        self._missing_since = float("-inf")
        self._is_complete: bool | None = None

    def record(self, now: float, has_lease: bool, is_complete: bool | None) -> None:
        """Record an update.

        Parameters
        ----------
        now : float
            Time in seconds.
        has_lease : bool
            Whether the instance has contact with a quorum.
        is_complete : bool or None
            Whether it has heard all agents that it knows of; None if it does not know.
        """
        if not has_lease:
            self._confirmed_since = None
        elif self._confirmed_since is None:
            self._confirmed_since = now
        if is_complete is False and self._is_complete is not False:
            self._missing_since = now
        self._is_complete = is_complete

    def reset(self) -> None:
        """Forget the updates of an instance that the node has left."""
        self._confirmed_since = None

    def is_current(self, now: float) -> bool:
        """Return whether the list names every upstream that has flows."""
        if self._confirmed_since is None:
            return False
        if self._is_complete is None:
            return now - self._confirmed_since >= SETTLED_SECONDS
        # An agent that was registered later may be heard by other instances only.
        waits_since = max(self._confirmed_since, self._missing_since)
        return self._is_complete or now - waits_since >= MISSING_SECONDS
