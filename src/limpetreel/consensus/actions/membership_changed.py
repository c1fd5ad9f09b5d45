"""Change of the membership."""

from __future__ import annotations

import msgspec

from limpetreel.consensus import member


class MembershipChanged(msgspec.Struct, frozen=True, tag="membership_changed"):
    """The members in effect have changed, so the connections have to follow.

    Attributes
    ----------
    members : tuple of Member
        New members. They take effect when their entry is appended, as Raft requires.
    """

    members: tuple[member.Member, ...]
