"""Request to change the membership."""

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
        The operation.
    member : Member
        The member. A member that is added starts as non-voting, regardless of
        `voting`, and is promoted once it has caught up.
    """

    proposal_id: int
    change: change.Change
    member: member.Member
