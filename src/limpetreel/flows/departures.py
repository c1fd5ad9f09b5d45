"""Detection of agents of a class that stopped serving recently."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.catalog import member_state
from limpetreel.requests import lifetime

if TYPE_CHECKING:
    from limpetreel.flows import class_view


class Departures:
    """Tracks whether an earlier owner may have run a request that is still in transit.

    A flow changes its owner only after the owner was lost, restarted, left or had
    its zone taken out of service. Idempotent requests leave no claim, so only the
    table shows that a request may have run at another agent.

    Parameters
    ----------
    first_start : bool
        True if no earlier process of this agent has served the class.
    """

    def __init__(self, first_start: bool) -> None:
        self._first_start = first_start
        self._serving: set[tuple[int, int]] | None = None
        self._recent_until = float("-inf")

    def update(self, now: float, view: class_view.ClassView) -> None:
        """Compare a view with the previous one."""
        serving = {
            (m.node_id, m.incarnation)
            for m in view.members
            if m.serving and m.state is not member_state.MemberState.LOST
        }
        if self._serving is None:
            has_departed = view.has_departed or not self._first_start
            has_departed = has_departed or len(serving) < len(view.members)
        else:
            has_departed = bool(self._serving - serving)
        self._serving = serving
        if has_departed:
            self._recent_until = now + lifetime.EXCHANGE_SECONDS

    def is_recent(self, now: float) -> bool:
        """Return whether copies of requests of a departed agent may still arrive."""
        return now < self._recent_until
