"""Up to which time the list of upstreams that a node has received is complete."""

from __future__ import annotations

from limpetreel.consensus import timing

MAX_QUESTIONS = 64
"""Questions whose times are kept; an answer to an earlier one shows nothing new."""


class ListClock:
    """Follows the updates of one control instance.

    The list is complete once the instance has a lease and has heard all registered
    agents since its start. No length of time makes up for an agent that is missing:
    its process may still be starting beside an upstream with open flows.

    An update shows the state of the instance at some time before it arrives, and it may
    be late. The node therefore numbers its messages to control. An update that repeats
    a number was sent after that message, and a lease tells how old the state of the
    instance was at most.
    """

    def __init__(self) -> None:
        self._is_complete = False
        self._complete_until = float("-inf")
        self._asked_at: dict[int, float] = {}
        self._last_number = 0

    def ask(self, now: float) -> int:
        """Return the number of the next message to control."""
        self._last_number += 1
        self._asked_at[self._last_number] = now
        if len(self._asked_at) > MAX_QUESTIONS:
            del self._asked_at[next(iter(self._asked_at))]
        return self._last_number

    def record(self, lease_ms: int, is_complete: bool | None, answered: int) -> None:
        """Record an update.

        Parameters
        ----------
        lease_ms : int
            Remaining lease of the instance; 0 without contact with a quorum.
        is_complete : bool or None
            Whether it has heard all agents that it knows of; None if it does not know.
        answered : int
            Number of the last message that it has received; 0 if none had a number.
        """
        self._is_complete = lease_ms > 0 and is_complete is True
        asked_at = self._asked_at.get(answered)
        if self._is_complete and asked_at is not None:
            state_age = timing.LEASE_SECONDS - lease_ms / 1000
            until = asked_at - max(0.0, state_age)
            self._complete_until = max(self._complete_until, until)

    def reset(self) -> None:
        """Forget the updates of an instance that the node has left."""
        self._is_complete = False
        self._asked_at.clear()

    @property
    def is_current(self) -> bool:
        """Return whether the last update named every upstream that had flows."""
        return self._is_complete

    @property
    def complete_until(self) -> float:
        """Return the latest time at which all agents with flows are known.

        It is the node's own monotonic time in seconds.
        """
        return self._complete_until
