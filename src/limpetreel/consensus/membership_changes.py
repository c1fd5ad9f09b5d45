"""Rules for membership changes.

Each change adds or removes at most one voter, so the majorities before and after it
always overlap.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limpetreel.consensus import membership
from limpetreel.consensus.events import change
from limpetreel.core import reason

if TYPE_CHECKING:
    from limpetreel.consensus import member


def apply_change(
    members: membership.Members, kind: change.Change, target: member.Member
) -> membership.Members | reason.Reason:
    """Return the members after an operator's change, or the reason for a refusal."""
    current = membership.find(members, target.identity)
    if kind is change.Change.ADD:
        if current is not None:
            return reason.Reason.CONFLICT
        return (*members, msgspec.structs.replace(target, voting=False))
    if current is None:
        return reason.Reason.NO_MEMBER
    if membership.voters(members) == [target.identity]:
        return reason.Reason.DENIED
    return membership.removed(members, target.identity)


def next_replacement(
    members: membership.Members, caught_up: set[str]
) -> membership.Members | None:
    """Return the members after the next step of replacing a lost member.

    The lost identity is removed before the new one is promoted: the removal needs a
    majority that excludes the lost log, so every committed entry is on a majority of
    the remaining voters before another instance may be lost.

    Parameters
    ----------
    members : tuple of Member
        Members in effect; their entry is committed.
    caught_up : set of str
        Identities whose log includes every committed entry.
    """
    ready = [m for m in members if not m.voting and m.identity in caught_up]
    for old in members:
        newer = [m for m in members if _replaces(m, old)]
        if newer and (not old.voting or any(m in ready for m in newer)):
            return membership.removed(members, old.identity)
    if ready:
        return membership.promoted(members, ready[0].identity)
    return None


def _replaces(new: member.Member, old: member.Member) -> bool:
    return new.name == old.name and new.incarnation > old.incarnation
