"""Change of the members."""

from __future__ import annotations

import msgspec

from limpetreel.consensus import member


class MembershipChanged(msgspec.Struct, frozen=True, tag="membership_changed"):
    """Other members are in effect, so other connections are needed.

    Attributes
    ----------
    members : tuple of Member
        Members from now on. They take effect when their entry is appended.
    """

    members: tuple[member.Member, ...]
