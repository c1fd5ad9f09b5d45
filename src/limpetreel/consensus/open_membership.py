"""Policy of a group that instances join without an operator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.consensus import membership, membership_policy

if TYPE_CHECKING:
    from limpetreel.consensus import member

VOTER_TIMEOUT_SECONDS = 2.5
"""Time without a reply after which a voter is replaced if another member can take its
place; longer than several elections and shorter than a typical outage."""
NON_VOTER_TIMEOUT_SECONDS = 15.0
"""Time without a reply after which a non-voting member is removed."""
REACHABLE_SECONDS = 1.0
"""A member that replied within this time counts as reachable."""


class OpenMembership(membership_policy.MembershipPolicy):
    """Admits every instance that asks and keeps a fixed odd number of voters.

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
        """Return the members after the next step of replacing lost ones.

        A voter is removed before its replacement is promoted, for the reason given
        in `membership_changes.next_replacement`.
        """
        # An acknowledgement in memory does not survive a loss of power.
        needs_disk = any(m.is_durable for m in members)
        ready = [
            m
            for m in members
            if not m.voting
            and m.identity in caught_up
            and (m.is_durable or not needs_disk)
            and seconds_since_reply.get(m.identity, 0.0) < REACHABLE_SECONDS
        ]
        voting = [m for m in members if m.voting]
        if ready and len(voting) >= self._voters:
            lost = self._find_lost_voter(members, seconds_since_reply)
            if lost is not None:
                return membership.removed(members, lost.identity)
        if ready and len(voting) < self._voters:
            return membership.promoted(members, ready[0].identity)
        for peer in members:
            is_timed_out = (
                seconds_since_reply.get(peer.identity, 0.0) > NON_VOTER_TIMEOUT_SECONDS
            )
            if not peer.voting and (is_timed_out or _is_replaced(members, peer)):
                return membership.removed(members, peer.identity)
        return None

    def _find_lost_voter(
        self, members: membership.Members, seconds_since_reply: dict[str, float]
    ) -> member.Member | None:
        """Return a voter to replace if a majority of the remaining ones is reachable.

        A lost voter goes first, then one without a disk.
        """
        voting = [m for m in members if m.voting]
        lost = [
            m
            for m in voting
            if seconds_since_reply.get(m.identity, 0.0) > VOTER_TIMEOUT_SECONDS
            or _is_replaced(members, m)
        ]
        if any(m.is_durable for m in members):
            lost += [m for m in voting if not m.is_durable]
        if not lost:
            return None
        remaining = [m for m in voting if m is not lost[0]]
        reachable = [
            m
            for m in remaining
            if seconds_since_reply.get(m.identity, 0.0) < REACHABLE_SECONDS
        ]
        return lost[0] if len(reachable) > len(remaining) // 2 else None


def _is_replaced(members: membership.Members, old: member.Member) -> bool:
    """Return whether a later member has the same address, so its disk is lost."""
    later = members[members.index(old) + 1 :]
    return any(m.address == old.address for m in later)
