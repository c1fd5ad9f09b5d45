"""Base class of the membership policies."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.consensus import membership


class MembershipPolicy(abc.ABC):
    """Decides which members are added and replaced without an operator.

    Attributes
    ----------
    may_replace_absent_voters : bool
        Whether the group may replace a voter while it is unreachable, so that the
        voter has to ask to join again.
    has_short_first_timeout : bool
        Whether the first election timeout after a start is shorter. All instances of
        such a group restart at the same time after an outage.
    """

    may_replace_absent_voters = False
    has_short_first_timeout = False

    @abc.abstractmethod
    def admits(
        self, members: membership.Members, name: str, incarnation: int, address: str
    ) -> bool:
        """Return whether an instance that asks to join becomes a non-voting member.

        Parameters
        ----------
        members : tuple of Member
            Members in effect.
        name, incarnation, address : str, int, str
            The instance that asks.
        """

    @abc.abstractmethod
    def next_change(
        self,
        members: membership.Members,
        caught_up: set[str],
        seconds_since_reply: dict[str, float],
    ) -> membership.Members | None:
        """Return the members after the next change, None if none is needed.

        Parameters
        ----------
        members : tuple of Member
            Members in effect; their entry is committed.
        caught_up : set of str
            Identities whose log includes every committed entry.
        seconds_since_reply : dict of str to float
            Time since the last reply of each other member to the leader.
        """
