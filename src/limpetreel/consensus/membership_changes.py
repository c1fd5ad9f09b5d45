"""Which membership changes are allowed and needed.

Each change adds or removes one voter at most, so the majorities before and after
it always overlap.
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
    members: membership.Members, kind: change.Change, item: member.Member
) -> membership.Members | reason.Reason:
    """Return the members after an operator's change, or why it is refused."""
    known = membership.find(members, item.identity)
    if kind is change.Change.ADD:
        if known is not None:
            return reason.Reason.CONFLICT
        return (*members, msgspec.structs.replace(item, voting=False))
    if known is None:
        return reason.Reason.NO_MEMBER
    if membership.voters(members) == [item.identity]:
        return reason.Reason.DENIED
    return membership.removed(members, item.identity)


def next_replacement(
    members: membership.Members, caught_up: set[str]
) -> membership.Members | None:
    """Return the members after the next step of replacing a lost one.

    The lost identity is removed before the new one is promoted: the removal needs a
    majority without the lost copy, so every accepted entry is on a majority of the
    remaining voters before a further instance may be lost.

    Parameters
    ----------
    members : tuple of Member
        Members in effect, which are known to be accepted.
    caught_up : set of str
        Identities that hold every accepted entry.
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
