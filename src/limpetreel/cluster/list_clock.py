"""When the list of upstreams that a node has received counts as complete."""

from __future__ import annotations


class ListClock:
    """Follows the updates of one control instance.

    The list is complete once the instance has a lease and has heard all registered
    agents since its start. No length of time makes up for an agent that is missing:
    its process may still be starting beside an upstream with open flows.
    """

    def __init__(self) -> None:
        self._is_complete = False

    def record(self, has_lease: bool, is_complete: bool | None) -> None:
        """Record an update.

        Parameters
        ----------
        has_lease : bool
            Whether the instance has contact with a quorum.
        is_complete : bool or None
            Whether it has heard all agents that it knows of; None if it does not know.
        """
        self._is_complete = has_lease and is_complete is True

    def reset(self) -> None:
        """Forget the updates of an instance that the node has left."""
        self._is_complete = False

    @property
    def is_current(self) -> bool:
        """Return whether the list names every upstream that has flows."""
        return self._is_complete
