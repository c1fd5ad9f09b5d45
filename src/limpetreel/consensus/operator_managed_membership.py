"""Policy of a group whose members an operator adds and removes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.consensus import membership_changes, membership_policy

if TYPE_CHECKING:
    from limpetreel.consensus import membership


class OperatorManagedMembership(membership_policy.MembershipPolicy):
    """Admits a known name with a newer data folder, which replaces the lost one."""

    def admits(
        self, members: membership.Members, name: str, incarnation: int, address: str
    ) -> bool:
        """Return whether the name is a member with only lower incarnations."""
        incarnations = [m.incarnation for m in members if m.name == name]
        return bool(incarnations) and incarnation > max(incarnations)

    def next_change(
        self,
        members: membership.Members,
        caught_up: set[str],
        seconds_since_reply: dict[str, float],
    ) -> membership.Members | None:
        """Return the members after the next step of replacing a lost folder."""
        return membership_changes.next_replacement(members, caught_up)
