"""Agents of a class that stopped serving a short time ago."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.catalog import member_state
from limpetreel.requests import lifetime

if TYPE_CHECKING:
    from limpetreel.flows import class_view


class Departures:
    """Tells whether an earlier owner may have run a request that still has copies.

    A flow changes its owner only after the owner was lost, restarted, left or had
    its zone taken out. Idempotent requests leave no claim, so only the table shows
    that a request may have run elsewhere.

    Parameters
    ----------
    first_start : bool
        True if no earlier process of this agent has served the class.
    """

    def __init__(self, first_start: bool) -> None:
        self._first_start = first_start
        self._serving: set[tuple[int, int]] | None = None
        self._recent_until = float("-inf")

    def follow(self, now: float, view: class_view.ClassView) -> None:
        """Compare a table with the one before."""
        serving = {
            (m.node_id, m.incarnation)
            for m in view.members
            if m.serving and m.state is not member_state.MemberState.LOST
        }
        if self._serving is None:
            is_gone = view.has_departed or not self._first_start
            is_gone = is_gone or len(serving) < len(view.members)
        else:
            is_gone = bool(self._serving - serving)
        self._serving = serving
        if is_gone:
            self._recent_until = now + lifetime.EXCHANGE_SECONDS

    def is_recent(self, now: float) -> bool:
        """Return whether copies of requests of a departed agent may still arrive."""
        return now < self._recent_until
