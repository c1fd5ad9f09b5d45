"""Policy of a group whose members an operator names."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.consensus import membership_changes, membership_policy

if TYPE_CHECKING:
    from limpetreel.consensus import membership


class OperatorManagedMembership(membership_policy.MembershipPolicy):
    """Admits a known name with a later data folder, which replaces the lost one."""

    def admits(
        self, members: membership.Members, name: str, incarnation: int, address: str
    ) -> bool:
        """Return whether a known name asks with a higher incarnation."""
        known = [m.incarnation for m in members if m.name == name]
        return bool(known) and incarnation > max(known)

    def next_change(
        self,
        members: membership.Members,
        caught_up: set[str],
        seconds_since_reply: dict[str, float],
    ) -> membership.Members | None:
        """Return the members after the next step of replacing a lost folder."""
        return membership_changes.next_replacement(members, caught_up)
