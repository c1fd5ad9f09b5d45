"""Policy of a group whose members come and go by themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.consensus import membership, membership_policy

if TYPE_CHECKING:
    from limpetreel.consensus import member

VOTER_TIMEOUT_SECONDS = 2.5
"""Silence after which a voter is replaced if another member can take its place;
several elections, and shorter than the time that an outage usually takes."""
NON_VOTER_TIMEOUT_SECONDS = 15.0
"""Silence after which a member without a vote is removed."""
REACHABLE_SECONDS = 1.0
"""A member that answered within this time counts as reachable."""


class OpenMembership(membership_policy.MembershipPolicy):
    """Admits whoever asks, and keeps a fixed odd number of voters.

    Parameters
    ----------
    voters : int
        Number of voters to keep.
    """

    may_replace_absent_voters = True
    has_short_first_timeout = True

    def __init__(self, voters: int) -> None:
        self._voters = voters

    def admits(
        self, members: membership.Members, name: str, incarnation: int, address: str
    ) -> bool:
        """Return whether the data folder is not a member yet."""
        return all((m.name, m.incarnation) != (name, incarnation) for m in members)

    def next_change(
        self,
        members: membership.Members,
        caught_up: set[str],
        seconds_since_reply: dict[str, float],
    ) -> membership.Members | None:
        """Return the members after the next step of replacing those that are gone.

        A voter is removed before its find_successor is promoted, for the reason that
        `membership_changes.next_replacement` gives.
        """
        ready = [
            m
            for m in members
            if not m.voting
            and m.identity in caught_up
            and seconds_since_reply.get(m.identity, 0.0) < REACHABLE_SECONDS
        ]
        voting = [m for m in members if m.voting]
        if ready and len(voting) >= self._voters:
            gone = self._find_unreachable_voter(members, seconds_since_reply)
            if gone is not None:
                return membership.removed(members, gone.identity)
        if ready and len(voting) < self._voters:
            return membership.promoted(members, ready[0].identity)
        for item in members:
            is_unreachable = (
                seconds_since_reply.get(item.identity, 0.0) > NON_VOTER_TIMEOUT_SECONDS
            )
            if not item.voting and (is_unreachable or _is_replaced(members, item)):
                return membership.removed(members, item.identity)
        return None

    def _find_unreachable_voter(
        self, members: membership.Members, seconds_since_reply: dict[str, float]
    ) -> member.Member | None:
        """Return a voter that is gone, if the others can do without it."""
        voting = [m for m in members if m.voting]
        gone = [
            m
            for m in voting
            if seconds_since_reply.get(m.identity, 0.0) > VOTER_TIMEOUT_SECONDS
            or _is_replaced(members, m)
        ]
        if not gone:
            return None
        rest = [m for m in voting if m is not gone[0]]
        reachable = [
            m
            for m in rest
            if seconds_since_reply.get(m.identity, 0.0) < REACHABLE_SECONDS
        ]
        return gone[0] if len(reachable) > len(rest) // 2 else None


def _is_replaced(members: membership.Members, item: member.Member) -> bool:
    """Return whether a later member has the same address, so its disk is lost."""
    later = members[members.index(item) + 1 :]
    return any(m.address == item.address for m in later)
