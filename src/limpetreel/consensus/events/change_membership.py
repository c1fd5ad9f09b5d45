"""Request to change the members."""

from __future__ import annotations

import msgspec

from limpetreel.consensus import member
from limpetreel.consensus.events import change


class ChangeMembership(msgspec.Struct, frozen=True, tag="change_membership"):
    """Proposal to add or remove one member.

    Attributes
    ----------
    proposal_id : int
        Chosen by the shell; returned in the result.
    change : Change
        What to do.
    member : Member
        The member. One that is added starts without a vote, whatever its `voting`
        says, and is promoted once it has caught up.
    """

    proposal_id: int
    change: change.Change
    member: member.Member
