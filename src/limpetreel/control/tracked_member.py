"""State of a member that the leader tracks between its renewals."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass
class TrackedMember:
    """Renewals and pending command of one member.

    Times are seconds of the tracker's own clock.

    Attributes
    ----------
    renewed_at : float
        Time of the last renewal of the incarnation in the table.
    lost_at : float or None
        When this leader first saw the member as lost.
    pending_since : float or None
        When the last command for the member was proposed.
    pending_revision : int
        Revision of the member's record at that time.
    joins : list of float
        Recent joins and returns.
    """

    renewed_at: float
    lost_at: float | None = None
    pending_since: float | None = None
    pending_revision: int = 0
    joins: list[float] = dataclasses.field(default_factory=list)
