"""Up to which time the list of upstreams that a node has received is complete."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.cluster.messages import update

MAX_QUESTIONS = 64
"""Questions whose times are kept; an answer to an earlier one shows nothing new."""


class ListClock:
    """Follows the updates of one control instance.

    The list is complete once the instance has a lease and has heard all registered
    agents since its start. No length of time makes up for an agent that is missing:
    its process may still be starting beside an upstream with open flows.

    An update shows the state of the instance at some time before it arrives, and it may
    be late. The node therefore numbers its messages to control. An update that repeats
    a number was sent after that message, and says how old the state of the instance
    was at most.
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

    def record(self, message: update.Update) -> None:
        """Record an update."""
        has_lease = message.lease_ms > 0
        self._is_complete = has_lease and message.is_complete is True
        asked_at = self._asked_at.get(message.answered)
        if self._is_complete and asked_at is not None:
            until = asked_at - message.state_age_ms / 1000
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
