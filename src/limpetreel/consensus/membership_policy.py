"""Base class of the policies for the members of the group."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.consensus import membership


class MembershipPolicy(abc.ABC):
    """Decides who is added without an operator, and which members are replaced.

    Attributes
    ----------
    may_replace_absent_voters : bool
        Whether a voter may have been replaced while it was away, so that it has to
        ask.
    has_short_first_timeout : bool
        Whether an instance that has just started stands for election after a short
        wait. All instances of such a group start again at once after an outage.
    """

    may_replace_absent_voters = False
    has_short_first_timeout = False

    @abc.abstractmethod
    def admits(
        self, members: membership.Members, name: str, incarnation: int, address: str
    ) -> bool:
        """Return whether an instance that asks is added without a vote.

        Parameters
        ----------
        members : tuple of Member
            Members in effect.
        name, incarnation, address : str, int, str
            Who asks.
        """

    @abc.abstractmethod
    def next_change(
        self,
        members: membership.Members,
        caught_up: set[str],
        seconds_since_reply: dict[str, float],
    ) -> membership.Members | None:
        """Return the members after the next step, None if nothing is to be done.

        Parameters
        ----------
        members : tuple of Member
            Members in effect, which are known to be accepted.
        caught_up : set of str
            Identities that hold every accepted entry.
        seconds_since_reply : dict of str to float
            Time since each other member answered the leader.
        """
